package org.magnoliavale.internal.identifier;

/** The identifier of a data centre. */
public record DataCentreId(String value) implements Comparable<DataCentreId> {
  /** Validates the identifier. */
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
