package org.magnoliavale.internal.operator;

/** What an instance believes, as values that are written as JSON. */
public interface StatusSource {
  /** Returns the instance's state: document, peers, leases, requests in progress. */
  Object status();

  /** Returns what is placed where and what the last placement round decided. */
  Object placement();
}
