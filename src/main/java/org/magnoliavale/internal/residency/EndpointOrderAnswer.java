package org.magnoliavale.internal.residency;

/** What an endpoint makes of an order. */
public enum EndpointOrderAnswer {
  /** It carries the order out. */
  ACCEPTED,
  /** What the order wants holds already. */
  DONE,
  /** Another order is in progress, or the sequence differs. */
  CONFLICT,
  /** It has seen a higher fencing token. */
  FENCED,
  /** Another incarnation answers. */
  OTHER_INCARNATION,
  /** It can't carry out such an order. */
  INVALID,
  /** No answer; the order may be carried out, also later. */
  UNKNOWN,
  /** The order did not leave, because no connection could be made. */
  NOT_SENT,
  /** The order did not leave, because the right to give it was over. */
  WITHHELD
}
