package org.magnoliavale.internal.reach;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;

/**
 * Whether this instance is cut off from all endpoints. Does no I/O and reads no clock; thread-safe.
 * Times are in nanoseconds of a monotonic clock.
 *
 * <p>There are two kinds of evidence. Several endpoints have refused a connection, or let it hang,
 * and none has accepted one meanwhile; connections that were open before may go on. Or several
 * endpoints owe data and nothing has come from any of them for some time. Either counts only while
 * a peer says that it reaches endpoints, since from here a fleet of failed endpoints looks the
 * same.
 *
 * <p>Evidence is confirmed by a probe of another endpoint, as some may have failed at the same
 * time. An instance that is cut off sends endpoints no calls, so only probes show that it no longer
 * is: several in a row, each at another endpoint, as a link that loses packets lets some of them
 * through.
 */
public final class EndpointReach {
  private enum State {
    REACHED,
    SUSPECTED,
    CONFIRMED,
    CUT_OFF
  }

  /** Endpoints that must fail before all count as cut off, or all that there are if fewer. */
  static final int FAILING_ENDPOINTS = 3;

  /** Endpoints that must answer probes in a row, or all that there are if fewer. */
  static final int ANSWERING_ENDPOINTS = 2;

  /** Endpoints that have refused connections after which it is doubtful which side has failed. */
  private static final int DOUBTFUL_FAILURES = 2;

  /** Time for which a failed connection attempt is evidence. */
  private static final long FAILURE_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  /** Time without data from any endpoint after which silent ones are evidence. */
  private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Time for which data from an endpoint shows that endpoints are reached. */
  private static final long HEARD_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  private final Map<InetSocketAddress, EndpointIdentity> listed = new HashMap<>();
  private final Map<EndpointIdentity, Long> failures = new HashMap<>();
  private final Set<EndpointIdentity> answering = new HashSet<>();
  private boolean heardBefore;
  private long heardNanos;
  private State state = State.REACHED;

  /** Records the endpoints that there are. */
  public synchronized void endpointsListed(Collection<DirectoryEntry> entries) {
    listed.clear();
    entries.forEach(entry -> listed.put(entry.address(), entry.identity()));
    failures.keySet().retainAll(listed.values());
  }

  /** Records that data has come from an endpoint. */
  public synchronized void heard(long nowNanos) {
    heardBefore = true;
    heardNanos = nowNanos;
  }

  /** Records that something accepted a connection; other addresses than endpoints' don't count. */
  public synchronized void connected(InetSocketAddress address, long nowNanos) {
    if (listed.containsKey(address) && state != State.CUT_OFF) {
      reached(nowNanos);
    }
  }

  /** Records that an endpoint has not accepted a connection. */
  public synchronized void connectFailed(EndpointIdentity endpoint, long nowNanos) {
    failures.put(endpoint, nowNanos);
  }

  private void reached(long nowNanos) {
    state = State.REACHED;
    failures.clear();
    heard(nowNanos);
  }

  /** Returns whether an endpoint is to be probed now. */
  public synchronized boolean needsProbe() {
    return state == State.SUSPECTED || state == State.CUT_OFF;
  }

  /** Returns whether an endpoint has not accepted a connection a short time ago. */
  public synchronized boolean hasFailed(EndpointIdentity endpoint) {
    return failures.containsKey(endpoint);
  }

  /** Records the result of a probe. */
  public synchronized void probed(EndpointIdentity endpoint, boolean answered, long nowNanos) {
    switch (state) {
      case SUSPECTED -> {
        if (answered) {
          reached(nowNanos);
        } else {
          state = State.CONFIRMED;
        }
      }
      case CUT_OFF -> {
        if (answered) {
          answering.add(endpoint);
        } else {
          answering.clear();
        }
      }
      case REACHED, CONFIRMED -> {}
    }
  }

  /**
   * Decides anew whether this instance is cut off; returns whether that has changed.
   *
   * @param silentEndpoints counts the endpoints that owe data and have sent none for some time
   * @param peersReach whether a peer says that it reaches endpoints
   */
  public synchronized boolean update(
      IntSupplier silentEndpoints, boolean peersReach, long nowNanos) {
    return switch (state) {
      case REACHED, SUSPECTED -> {
        failures.values().removeIf(nanos -> nowNanos - nanos > FAILURE_VALIDITY_NANOS);
        boolean suspected = peersReach && isEvident(silentEndpoints, nowNanos);
        state = suspected ? State.SUSPECTED : State.REACHED;
        yield false;
      }
      case CONFIRMED -> {
        change(State.CUT_OFF);
        yield true;
      }
      case CUT_OFF -> {
        boolean answered = answering.size() >= Math.min(ANSWERING_ENDPOINTS, listed.size());
        if (answered) {
          change(State.REACHED);
          heard(nowNanos);
        }
        yield answered;
      }
    };
  }

  private void change(State newState) {
    state = newState;
    failures.clear();
    answering.clear();
  }

  private boolean isEvident(IntSupplier silentEndpoints, long nowNanos) {
    int needed = Math.min(FAILING_ENDPOINTS, listed.size());
    boolean silence =
        heardBefore
            && nowNanos - heardNanos >= SILENCE_NANOS
            && silentEndpoints.getAsInt() >= needed;
    return needed > 0 && (failures.size() >= needed || silence);
  }

  /** Returns whether this instance is cut off from all endpoints. */
  public synchronized boolean isCutOff() {
    return state == State.CUT_OFF;
  }

  /**
   * Returns whether this instance may be about to find that it is cut off, so that an endpoint that
   * it does not reach has not necessarily failed.
   */
  public synchronized boolean isDoubtful() {
    return state != State.REACHED || failures.size() >= DOUBTFUL_FAILURES;
  }

  /** Returns whether peers are to be told that this instance reaches endpoints. */
  public synchronized boolean isReaching(long nowNanos) {
    return state != State.CUT_OFF && heardBefore && nowNanos - heardNanos <= HEARD_VALIDITY_NANOS;
  }
}
