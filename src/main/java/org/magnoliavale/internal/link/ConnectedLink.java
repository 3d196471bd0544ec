package org.magnoliavale.internal.link;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.ReadTimeoutException;
import java.io.IOException;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.link.protocol.Challenge;
import org.magnoliavale.internal.link.protocol.Frame;
import org.magnoliavale.internal.link.protocol.Hello;
import org.magnoliavale.internal.logging.Logs;

/**
 * The connecting end of a link. Authenticates itself and the peer, then sends this instance's
 * heartbeats. One handler serves one connection and runs on its event loop only.
 */
final class ConnectedLink extends SimpleChannelInboundHandler<Frame> {
  private static final Logger LOG = Logs.of("link");

  private final LinkContext link;
  private final String peer;
  private final HeartbeatRelay.Progress progress = new HeartbeatRelay.Progress();
  private final ByteString nonce = LinkProof.newNonce();
  private ChannelHandlerContext readyContext;

  ConnectedLink(LinkContext link, String peer) {
    this.link = link;
    this.peer = peer;
  }

  /**
   * Sends this instance's heartbeat, and those that it relays to the peer, if the handshake is
   * complete; otherwise does nothing.
   */
  void sendHeartbeat(Frame heartbeat) {
    ChannelHandlerContext context = readyContext;
    if (context != null) {
      context.write(heartbeat);
      relayHeartbeats();
      context.flush();
    }
  }

  /** Sends the heartbeats that this instance relays to the peer, if the handshake is complete. */
  void relayHeartbeats() {
    ChannelHandlerContext context = readyContext;
    if (context != null) {
      Frames.relayedHeartbeats(link.exchange().takePendingForTarget(peer, progress))
          .ifPresent(context::writeAndFlush);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame) {
    if (readyContext == null) {
      handshake(context, frame);
      return;
    }
    switch (frame.getBodyCase()) {
      case HEARTBEAT_ANSWER -> {
        link.exchange().heardFrom(peer);
        if (frame.getHeartbeatAnswer().getDocumentVersion() > link.state().document().version()) {
          context.writeAndFlush(Frames.documentRequest());
        }
      }
      case RELAYED_HEARTBEATS ->
          link.exchange().relayed(peer, frame.getRelayedHeartbeats().getHeartbeatsList());
      case DOCUMENT_REQUEST -> context.writeAndFlush(Frames.documentBody(link.state().document()));
      case DOCUMENT_BODY ->
          link.listener().documentReceived(Frames.document(frame.getDocumentBody()));
      default -> reject(context, "unexpected frame " + frame.getBodyCase());
    }
  }

  private void handshake(ChannelHandlerContext context, Frame frame) {
    switch (frame.getBodyCase()) {
      case CHALLENGE -> context.writeAndFlush(hello(frame.getChallenge()));
      case WELCOME -> {
        ByteString proof = frame.getWelcome().getProof();
        if (link.proof().isValid("welcome", link.incarnation(), nonce, proof)) {
          readyContext = context;
          sendHeartbeat(Frames.heartbeat(link.exchange().nextHeartbeat()));
        } else {
          reject(context, "peer failed authentication with the shared key");
        }
      }
      default -> reject(context, "unexpected frame " + frame.getBodyCase());
    }
  }

  private Frame hello(Challenge challenge) {
    Hello.Builder hello =
        Hello.newBuilder()
            .setInstance(link.instance())
            .setIncarnation(link.incarnation())
            .setNonce(nonce)
            .setProof(link.proof().prove("hello", link.incarnation(), challenge.getNonce()));
    return Frame.newBuilder().setHello(hello).build();
  }

  private void reject(ChannelHandlerContext context, String reason) {
    link.rejectedFrames().inc();
    LOG.warnf("Link rejected. to=%s why=%s", context.channel().remoteAddress(), reason);
    context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    readyContext = null;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof ReadTimeoutException) {
      LOG.infof("Link timed out. to=%s", context.channel().remoteAddress());
    } else if (!(cause instanceof IOException)) {
      link.rejectedFrames().inc();
    }
    context.close();
  }
}
