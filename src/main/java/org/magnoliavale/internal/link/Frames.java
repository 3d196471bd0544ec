package org.magnoliavale.internal.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.document.DocumentText;
import org.magnoliavale.internal.document.StoredSection;
import org.magnoliavale.internal.link.protocol.DocumentBody;
import org.magnoliavale.internal.link.protocol.DocumentRequest;
import org.magnoliavale.internal.link.protocol.Frame;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.RelayedHeartbeat;
import org.magnoliavale.internal.link.protocol.RelayedHeartbeats;
import org.magnoliavale.internal.link.protocol.Section;

/** Encoding of link frames: protobuf messages with a length prefix of four bytes. */
final class Frames {
  /** Maximum size of a frame; the largest frame carries a whole document. */
  static final int MAXIMUM_FRAME_BYTES = 8 * 1024 * 1024;

  private static final int LENGTH_BYTES = 4;

  private Frames() {}

  /**
   * Adds the codecs, and a read timeout that fails the channel if nothing is received within {@code
   * silenceTimeout}.
   */
  static void addCodecs(Channel channel, Duration silenceTimeout) {
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addLast(
        new ReadTimeoutHandler(silenceTimeout.toMillis(), TimeUnit.MILLISECONDS),
        new LengthFieldBasedFrameDecoder(MAXIMUM_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
        new ProtobufDecoder(Frame.getDefaultInstance()),
        new LengthFieldPrepender(LENGTH_BYTES),
        new ProtobufEncoder());
  }

  static Frame heartbeat(Heartbeat heartbeat) {
    return Frame.newBuilder().setHeartbeat(heartbeat).build();
  }

  /** Returns a frame with heartbeats of other instances; empty if there are none. */
  static Optional<Frame> relayedHeartbeats(List<RelayedHeartbeat> heartbeats) {
    if (heartbeats.isEmpty()) {
      return Optional.empty();
    }
    RelayedHeartbeats body = RelayedHeartbeats.newBuilder().addAllHeartbeats(heartbeats).build();
    return Optional.of(Frame.newBuilder().setRelayedHeartbeats(body).build());
  }

  static Frame documentRequest() {
    return Frame.newBuilder().setDocumentRequest(DocumentRequest.getDefaultInstance()).build();
  }

  static Frame documentBody(DocumentText document) {
    DocumentBody.Builder body = DocumentBody.newBuilder().setVersion(document.version());
    for (StoredSection section : document.sections()) {
      body.addSections(
          Section.newBuilder()
              .setHeading(section.heading())
              .setRevision(section.revision())
              .setText(section.text()));
    }
    return Frame.newBuilder().setDocumentBody(body).build();
  }

  static DocumentText document(DocumentBody body) {
    return new DocumentText(
        body.getVersion(),
        body.getSectionsList().stream()
            .map(
                section ->
                    new StoredSection(
                        section.getHeading(), section.getRevision(), section.getText()))
            .toList());
  }
}
