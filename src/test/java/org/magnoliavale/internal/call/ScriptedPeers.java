package org.magnoliavale.internal.call;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.EndpointChoice;
import org.magnoliavale.internal.identifier.ServiceId;

/** Two peers, of which the first by name is chosen; a test tells whether calls go to them. */
final class ScriptedPeers implements PeerCalls {
  private final Set<String> names = new HashSet<>(Set.of("peer-1", "peer-2"));
  private final Set<EndpointIdentity> refusing = new HashSet<>();
  private boolean cutOff;

  void cutOff(boolean value) {
    cutOff = value;
  }

  void add(String name) {
    names.add(name);
  }

  /** Returns the endpoints that have not accepted a connection. */
  Set<EndpointIdentity> refusing() {
    return refusing;
  }

  @Override
  public boolean areNeeded() {
    return cutOff;
  }

  @Override
  public boolean isReachDoubtful() {
    return cutOff;
  }

  @Override
  public void heardEndpoint(long nowNanos) {}

  @Override
  public void connectFailed(EndpointIdentity endpoint, long nowNanos) {
    refusing.add(endpoint);
  }

  @Override
  public Optional<EndpointChoice.Selected> choose(Set<EndpointIdentity> excluded, long nowNanos) {
    return names.stream()
        .sorted()
        .filter(name -> !excluded.contains(new EndpointIdentity(name, 0)))
        .findFirst()
        .map(name -> EndpointChoice.Selected.untracked(peer(name), nowNanos));
  }

  private static DirectoryEntry peer(String name) {
    return new DirectoryEntry(
        new EndpointIdentity(name, 0),
        new ServiceId("instances"),
        new InetSocketAddress("127.0.0.1", 1),
        "east",
        false,
        0,
        0,
        Map.of(),
        Set.of(),
        Set.of());
  }

  @Override
  public String proof(String attemptId) {
    return "self:" + attemptId;
  }

  @Override
  public boolean isFromPeer(HttpFields fromCaller, String attemptId) {
    return ("other:" + attemptId).equals(fromCaller.get(PROOF_HEADER));
  }
}
