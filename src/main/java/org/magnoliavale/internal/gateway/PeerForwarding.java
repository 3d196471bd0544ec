package org.magnoliavale.internal.gateway;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.internal.call.PeerCalls;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.EndpointChoice;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.ini.Values;
import org.magnoliavale.internal.link.LinkProof;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.platform.ListedInstance;
import org.magnoliavale.internal.reach.EndpointReach;

/**
 * Passes calls to peers that reach endpoints, at the address at which they take calls, and tells
 * peers whether this instance does. Thread-safe.
 *
 * <p>A peer is drawn at random, those with more processor time more often: one of this data centre,
 * or of any other if there is none. A call that is passed on names this instance and proves that it
 * has the key that instances share, so nobody else can pass for one.
 */
final class PeerForwarding implements PeerCalls, HeartbeatPart {
  /** Time for which the last heartbeat of a peer counts; relayed ones may be seconds apart. */
  private static final long VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(5);

  private static final ServiceId PEERS = new ServiceId("instances");
  private static final String PROOF_ROLE = "call";
  private static final char SEPARATOR = ':';

  private record Peer(InetSocketAddress address, boolean reaching, long nanos) {}

  private record Candidate(String id, Peer peer, String dataCentre, int weight) {}

  private final String instance;
  private final String dataCentre;
  private final LinkProof proof;
  private final EndpointReach reach;
  private final Supplier<String> callerAddress;
  private final Supplier<Optional<List<ListedInstance>>> listed;
  private final RandomGenerator random;
  private final LongSupplier nanoClock;
  private final Map<String, Peer> peers = new HashMap<>();

  /**
   * Returns forwarding that knows no peers yet.
   *
   * @param callerAddress the address at which this instance takes calls
   * @param listed the last list of instances; empty before the first one was read
   */
  PeerForwarding(
      GatewaySettings settings,
      EndpointReach reach,
      Supplier<String> callerAddress,
      Supplier<Optional<List<ListedInstance>>> listed,
      RandomGenerator random,
      LongSupplier nanoClock) {
    this.instance = settings.instanceId();
    this.dataCentre = settings.dataCentre();
    this.proof = new LinkProof(settings.peers().sharedKey());
    this.reach = reach;
    this.callerAddress = callerAddress;
    this.listed = listed;
    this.random = random;
    this.nanoClock = nanoClock;
  }

  @Override
  public boolean areNeeded() {
    return reach.isCutOff();
  }

  @Override
  public boolean isReachDoubtful() {
    return reach.isDoubtful();
  }

  @Override
  public void heardEndpoint(long nowNanos) {
    reach.heard(nowNanos);
  }

  @Override
  public void connectFailed(EndpointIdentity endpoint, long nowNanos) {
    reach.connectFailed(endpoint, nowNanos);
  }

  /** Returns whether a peer says that it reaches endpoints. */
  synchronized boolean isAnyPeerReaching(long nowNanos) {
    return peers.values().stream().anyMatch(peer -> isUsable(peer, nowNanos));
  }

  private static boolean isUsable(Peer peer, long nowNanos) {
    return peer.reaching() && nowNanos - peer.nanos() <= VALIDITY_NANOS;
  }

  @Override
  public Optional<EndpointChoice.Selected> choose(Set<EndpointIdentity> excluded, long nowNanos) {
    List<Candidate> candidates = candidates(excluded, nowNanos);
    List<Candidate> near =
        candidates.stream().filter(peer -> peer.dataCentre().equals(dataCentre)).toList();
    return draw(near.isEmpty() ? candidates : near)
        .map(peer -> EndpointChoice.Selected.untracked(entry(peer), nowNanos));
  }

  private List<Candidate> candidates(Set<EndpointIdentity> excluded, long nowNanos) {
    Map<String, ListedInstance> entries =
        listed.get().stream()
            .flatMap(List::stream)
            .collect(
                Collectors.toMap(ListedInstance::id, Function.identity(), (first, other) -> first));
    List<Candidate> candidates = new ArrayList<>();
    synchronized (this) {
      peers.forEach(
          (id, peer) -> {
            if (isUsable(peer, nowNanos) && !excluded.contains(identity(id))) {
              ListedInstance entry = entries.get(id);
              String peerDataCentre = entry == null ? "" : entry.dataCentre();
              int weight = entry == null ? 1 : Math.max(1, entry.processorPercent());
              candidates.add(new Candidate(id, peer, peerDataCentre, weight));
            }
          });
    }
    return candidates;
  }

  private Optional<Candidate> draw(List<Candidate> candidates) {
    int total = candidates.stream().mapToInt(Candidate::weight).sum();
    if (total == 0) {
      return Optional.empty();
    }
    int drawn = random.nextInt(total);
    for (Candidate candidate : candidates) {
      drawn -= candidate.weight();
      if (drawn < 0) {
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }

  private static EndpointIdentity identity(String peer) {
    return new EndpointIdentity(peer, 0);
  }

  private static DirectoryEntry entry(Candidate candidate) {
    return new DirectoryEntry(
        identity(candidate.id()),
        PEERS,
        candidate.peer().address(),
        candidate.dataCentre(),
        false,
        0,
        0,
        Map.of(),
        Set.of(),
        Set.of());
  }

  @Override
  public String proof(String attemptId) {
    ByteString bytes = proof.prove(PROOF_ROLE, instance, ByteString.copyFromUtf8(attemptId));
    return instance + SEPARATOR + HexFormat.of().formatHex(bytes.toByteArray());
  }

  @Override
  public boolean isFromPeer(HttpFields fromCaller, String attemptId) {
    String value = fromCaller.get(PROOF_HEADER);
    if (value == null) {
      return false;
    }
    int separator = value.lastIndexOf(SEPARATOR);
    return separator > 0
        && isValid(value.substring(0, separator), value.substring(separator + 1), attemptId);
  }

  private boolean isValid(String peer, String hexadecimal, String attemptId) {
    try {
      ByteString given = ByteString.copyFrom(HexFormat.of().parseHex(hexadecimal));
      return proof.isValid(PROOF_ROLE, peer, ByteString.copyFromUtf8(attemptId), given);
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  @Override
  public void addTo(Heartbeat.Builder heartbeat, long nowNanos) {
    heartbeat.setCallerAddress(callerAddress.get());
    heartbeat.setReachesEndpoints(reach.isReaching(nowNanos));
  }

  @Override
  public synchronized void apply(String peer, Heartbeat heartbeat, long nowNanos) {
    peers.values().removeIf(known -> nowNanos - known.nanos() > VALIDITY_NANOS);
    if (heartbeat.getLeaving() || !Values.isAddress(heartbeat.getCallerAddress())) {
      peers.remove(peer);
      return;
    }
    InetSocketAddress address = Values.address(heartbeat.getCallerAddress());
    peers.put(peer, new Peer(address, heartbeat.getReachesEndpoints(), nowNanos));
  }

  /** Decides anew whether this instance is cut off from endpoints; returns whether it changed. */
  boolean update(IntSupplier silentEndpoints) {
    long now = nanoClock.getAsLong();
    return reach.update(silentEndpoints, isAnyPeerReaching(now), now);
  }
}
