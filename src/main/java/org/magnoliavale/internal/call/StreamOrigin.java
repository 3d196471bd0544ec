package org.magnoliavale.internal.call;

import org.magnoliavale.internal.directory.SoftwareVersion;

/** What is known of the software version at which a stream began. */
public sealed interface StreamOrigin {
  /** The stream began at this version. */
  record Known(SoftwareVersion version) implements StreamOrigin {}

  /** The stream began at this version, which has left since. */
  record Gone(SoftwareVersion version) implements StreamOrigin {}

  /** It can't be known at which version the stream began. */
  record Unknown(String reason) implements StreamOrigin {}

  /** It can't be known now, since what is recorded can't be read. */
  record Unavailable(String reason) implements StreamOrigin {}
}
