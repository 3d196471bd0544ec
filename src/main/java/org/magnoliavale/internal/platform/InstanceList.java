package org.magnoliavale.internal.platform;

import java.util.List;
import java.util.Optional;

/** The platform's list of live and leaving instances. */
public interface InstanceList {
  /** Returns the list, or nothing when the platform does not answer. */
  Optional<List<ListedInstance>> read();
}
