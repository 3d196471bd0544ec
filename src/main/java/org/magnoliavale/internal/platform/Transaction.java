package org.magnoliavale.internal.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * Writes that take effect together if all conditions hold.
 *
 * @param conditions what must hold
 * @param writes what is written
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {
  /** Takes copies. */
  public Transaction {
    conditions = List.copyOf(conditions);
    writes = List.copyOf(writes);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects conditions and writes. */
  public static final class Builder {
    private final List<Condition> conditions = new ArrayList<>();
    private final List<Write> writes = new ArrayList<>();

    private Builder() {}

    /** Requires a row's version. */
    public Builder require(String key, long version) {
      conditions.add(new Condition(key, version));
      return this;
    }

    /** Writes a row. */
    public Builder write(String key, String value) {
      writes.add(new Write(key, value));
      return this;
    }

    /** Deletes a row. */
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
