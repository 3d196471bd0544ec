package org.magnoliavale.internal.call;

import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.EndpointChoice;

/**
 * Calls that are passed to a peer, which serves them as if their callers had sent them there, while
 * this instance reaches no endpoint. A call is passed on at most once.
 */
public interface PeerCalls {
  /** Name, in lower case, of the header by which an instance recognizes a call from a peer. */
  String PROOF_HEADER = "forwarding-instance";

  /** Returns whether calls have to be passed to peers now. */
  boolean areNeeded();

  /** Returns whether an endpoint that can't be reached from here may be sound all the same. */
  boolean isReachDoubtful();

  /** Records that data has come from an endpoint. */
  void heardEndpoint(long nowNanos);

  /** Records that an endpoint has not accepted a connection. */
  void connectFailed(EndpointIdentity endpoint, long nowNanos);

  /** Selects a peer that reaches endpoints, other than {@code excluded}; empty if there is none. */
  Optional<EndpointChoice.Selected> choose(Set<EndpointIdentity> excluded, long nowNanos);

  /** Returns the value of {@link #PROOF_HEADER} for a call. */
  String proof(String attemptId);

  /** Returns whether a peer has passed a call to this instance. */
  boolean isFromPeer(HttpFields fromCaller, String attemptId);

  /** Returns the calls of an instance that has no peers. */
  static PeerCalls none() {
    return new PeerCalls() {
      @Override
      public boolean areNeeded() {
        return false;
      }

      @Override
      public boolean isReachDoubtful() {
        return false;
      }

      @Override
      public void heardEndpoint(long nowNanos) {}

      @Override
      public void connectFailed(EndpointIdentity endpoint, long nowNanos) {}

      @Override
      public Optional<EndpointChoice.Selected> choose(
          Set<EndpointIdentity> excluded, long nowNanos) {
        return Optional.empty();
      }

      @Override
      public String proof(String attemptId) {
        return "";
      }

      @Override
      public boolean isFromPeer(HttpFields fromCaller, String attemptId) {
        return false;
      }
    };
  }
}
