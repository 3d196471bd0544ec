package org.magnoliavale.internal.platform;

import java.util.List;
import java.util.Optional;

/** The platform's list of live and leaving instances. */
public interface InstanceList {
  /** Returns the list, or an empty value if the platform gave no valid response. */
  Optional<List<ListedInstance>> read();
}
