package org.magnoliavale.internal.operator;

/** Provides the state of an instance as objects that are serialised to JSON. */
public interface StatusSource {
  /** Returns the instance's state: document, peers, leases, requests in progress. */
  Object status();

  /** Returns the current placement and the decisions of the last placement round. */
  Object placement();
}
