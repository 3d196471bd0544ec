package org.magnoliavale.internal.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * Writes that are applied atomically if all conditions hold.
 *
 * @param conditions conditions that must all hold
 * @param writes rows to write or delete
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {
  /** Copies the lists. */
  public Transaction {
    conditions = List.copyOf(conditions);
    writes = List.copyOf(writes);
  }

  /** Returns an empty builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds a transaction. Not thread-safe. */
  public static final class Builder {
    private final List<Condition> conditions = new ArrayList<>();
    private final List<Write> writes = new ArrayList<>();

    private Builder() {}

    /** Adds a condition that the row has the given version. */
    public Builder require(String key, long version) {
      conditions.add(new Condition(key, version));
      return this;
    }

    /** Adds a write that sets a row. */
    public Builder write(String key, String value) {
      writes.add(new Write(key, value));
      return this;
    }

    /** Adds a write that deletes a row. */
    public Builder delete(String key) {
      writes.add(new Write(key, null));
      return this;
    }

    /** Returns the transaction. */
    public Transaction build() {
      return new Transaction(conditions, writes);
    }
  }
}
