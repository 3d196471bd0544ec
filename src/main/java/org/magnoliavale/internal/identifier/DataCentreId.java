package org.magnoliavale.internal.identifier;

/** Names a data centre. */
public record DataCentreId(String value) implements Comparable<DataCentreId> {
  /** Checks the name. */
  public DataCentreId {
    IdentifierRules.check("DataCentreId", value);
  }

  @Override
  public int compareTo(DataCentreId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
