package org.magnoliavale.internal.link;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.ReadTimeoutException;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.link.protocol.Challenge;
import org.magnoliavale.internal.link.protocol.Frame;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.HeartbeatAnswer;
import org.magnoliavale.internal.link.protocol.Hello;
import org.magnoliavale.internal.link.protocol.Welcome;
import org.magnoliavale.internal.logging.Logs;

/**
 * The accepting end of a link. Authenticates the peer by challenge and response, then passes its
 * heartbeats to the listener and replies with the version of this instance's document, which also
 * shows the peer that the link lives. Heartbeats that follow each other quickly get one reply. One
 * handler serves one connection and runs on its event loop only.
 */
final class AcceptedLink extends SimpleChannelInboundHandler<Frame> {
  private static final Logger LOG = Logs.of("link");

  /** Minimum time between two replies that state the same version; less than between heartbeats. */
  private static final long REPLY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final LinkContext link;
  private final ByteString nonce = LinkProof.newNonce();
  private final HeartbeatRelay.Progress progress = new HeartbeatRelay.Progress();
  private final MinimumInterval replies = new MinimumInterval(REPLY_INTERVAL_NANOS);
  private ChannelHandlerContext context;
  private String peer;
  private long repliedVersion;

  AcceptedLink(LinkContext link) {
    this.link = link;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    this.context = context;
    Challenge challenge = Challenge.newBuilder().setNonce(nonce).build();
    context.writeAndFlush(Frame.newBuilder().setChallenge(challenge).build());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    if (peer == null) {
      authenticate(context, frame);
      return;
    }
    switch (frame.getBodyCase()) {
      case HEARTBEAT -> onHeartbeat(context, frame.getHeartbeat());
      case RELAYED_HEARTBEATS ->
          link.exchange().relayed(peer, frame.getRelayedHeartbeats().getHeartbeatsList());
      case DOCUMENT_REQUEST -> context.writeAndFlush(Frames.documentBody(link.state().document()));
      case DOCUMENT_BODY ->
          link.listener().documentReceived(Frames.document(frame.getDocumentBody()));
      default -> reject(context, "unexpected frame " + frame.getBodyCase());
    }
  }

  private void authenticate(ChannelHandlerContext context, Frame frame) {
    Hello hello = frame.getHello();
    boolean valid =
        frame.hasHello()
            && !hello.getInstance().isEmpty()
            && link.proof().isValid("hello", hello.getIncarnation(), nonce, hello.getProof());
    if (!valid) {
      reject(context, "peer failed authentication with the shared key");
      return;
    }
    peer = hello.getInstance();
    link.accepted().add(this);
    link.exchange().followed(peer);
    ByteString proof = link.proof().prove("welcome", hello.getIncarnation(), hello.getNonce());
    context.writeAndFlush(
        Frame.newBuilder().setWelcome(Welcome.newBuilder().setProof(proof)).build());
  }

  private void onHeartbeat(ChannelHandlerContext context, Heartbeat heartbeat) {
    link.exchange().received(peer, heartbeat);
    long ownVersion = link.state().document().version();
    reply(context, ownVersion);
    if (heartbeat.getDocumentVersion() > ownVersion) {
      context.writeAndFlush(Frames.documentRequest());
    }
  }

  private void reply(ChannelHandlerContext context, long ownVersion) {
    long now = System.nanoTime();
    if (ownVersion == repliedVersion && replies.remainingNanos(now) > 0) {
      return;
    }
    replies.record(now);
    repliedVersion = ownVersion;
    HeartbeatAnswer answer = HeartbeatAnswer.newBuilder().setDocumentVersion(ownVersion).build();
    context.writeAndFlush(Frame.newBuilder().setHeartbeatAnswer(answer).build());
  }

  /** Sends the heartbeats of other instances that the peer needs. */
  void relayHeartbeats() {
    Frames.relayedHeartbeats(link.exchange().takePendingForFollower(peer, progress))
        .ifPresent(context::writeAndFlush);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (link.accepted().remove(this) && link.accepted().stream().noneMatch(this::hasSamePeer)) {
      link.exchange().unfollowed(peer);
    }
  }

  private boolean hasSamePeer(AcceptedLink other) {
    return other.peer.equals(peer);
  }

  private void reject(ChannelHandlerContext context, String reason) {
    link.rejectedFrames().inc();
    LOG.warnf("Link rejected. from=%s why=%s", context.channel().remoteAddress(), reason);
    context.close();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof ReadTimeoutException || cause instanceof IOException) {
      context.close();
    } else {
      reject(context, String.valueOf(cause.getMessage()));
    }
  }
}
