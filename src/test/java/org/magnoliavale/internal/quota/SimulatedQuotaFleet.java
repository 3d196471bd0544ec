package org.magnoliavale.internal.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.dispatch.GenerationRequest;
import org.magnoliavale.internal.identifier.TenantId;
import org.magnoliavale.internal.limit.FleetView;
import org.magnoliavale.internal.route.Quota;
import org.magnoliavale.internal.route.Tenant;
import org.magnoliavale.internal.route.TenantTable;

/**
 * A fleet on a virtual clock that keeps the quota of one tenant. Callers sit at some instances and
 * send requests at random times. Heartbeats arrive as in package {@code link}: in a fleet of up to
 * 12 instances each, in a larger one by relays, where only those that matter at once come soon.
 */
final class SimulatedQuotaFleet {
  static final QuotaBounds BOUNDS = new QuotaBounds(Duration.ofSeconds(8), 0.1, 11_000);

  private static final int MESH = 12;
  private static final int HEARTBEAT_MS = 500;
  private static final int TICK_MS = 50;
  private static final int REFRESH_MS = 2_000;
  private static final int LINK_MS = 2;
  private static final int URGENT_RELAY_MS = 100;
  private static final int RELAY_MS = 1_000;
  private static final int EXPIRY_MS = 5_000;
  private static final int LEAST_TOKENS = 600;
  private static final int MOST_TOKENS = 5_000;
  private static final int MEAN_TOKENS = 1_300;
  private static final TenantId TENANT = new TenantId("orchard");

  private record Event(long atMs, long order, Runnable action) {}

  private record Grant(long atMs, double units) {}

  /** One instance; a restart gives it new state. */
  private final class Instance {
    private final int number;
    private final long[] heardMs;
    private final long[] saidNanosOf;
    private TenantQuotas quotas;
    private FleetView view;
    private long viewMs;
    private long startMs;
    private long relayedMs = -REFRESH_MS;
    private long deafUntilMs;
    private int side;
    private Quota quota;
    private TenantTable table;

    private Instance(int number, int size) {
      this.number = number;
      heardMs = new long[size];
      saidNanosOf = new long[size];
    }

    private void start() {
      startMs = nowMs;
      Arrays.fill(heardMs, -EXPIRY_MS - 1);
      viewMs = -1;
      quotas = new TenantQuotas(ignored -> view(), () -> table, BOUNDS, nowMs, nanos());
    }

    private FleetView view() {
      if (viewMs < 0 || nowMs - viewMs >= HEARTBEAT_MS) {
        viewMs = nowMs;
        Set<String> peers = new HashSet<>();
        for (int i = 0; i < heardMs.length; i++) {
          if (i != number && nowMs - heardMs[i] <= EXPIRY_MS) {
            peers.add("i" + i);
          }
        }
        int silent = heardMs.length - 1 - peers.size();
        long newsMs = heardMs.length <= MESH ? 550 : 2_600;
        view =
            new FleetView("i" + number, peers, silent, true, TimeUnit.MILLISECONDS.toNanos(newsMs));
      }
      return view;
    }

    private void tick() {
      if (isRunning() && quotas.takeNews(nanos())) {
        tell();
      }
    }

    private void tell() {
      if (!isRunning()) {
        return;
      }
      TenantQuotas.Announcement announcement = quotas.announce(nanos());
      heartbeats++;
      long saidNanos = nanos();
      long id = startMs;
      long delayMs = LINK_MS;
      if (heardMs.length > MESH) {
        if (!announcement.atOnce() && nowMs - relayedMs < REFRESH_MS) {
          return;
        }
        relayedMs = nowMs;
        relayed++;
        delayMs = announcement.atOnce() ? URGENT_RELAY_MS : random.nextInt(RELAY_MS);
      }
      after(
          delayMs,
          () -> instances.forEach(peer -> peer.hear(this, id, announcement.uses(), saidNanos)));
    }

    private void hear(Instance peer, long id, List<TenantUse> uses, long saidNanos) {
      boolean newer = saidNanos > saidNanosOf[peer.number];
      if (peer != this && newer && isRunning() && side == peer.side) {
        saidNanosOf[peer.number] = saidNanos;
        if (nowMs - heardMs[peer.number] > EXPIRY_MS) {
          viewMs = -1;
        }
        heardMs[peer.number] = nowMs;
        quotas.learn("i" + peer.number, id, uses, saidNanos, nanos());
      }
    }

    private boolean isRunning() {
      return nowMs >= deafUntilMs;
    }

    private void configure(Quota newQuota) {
      quota = newQuota;
      table = TenantTable.of(List.of(tenant(newQuota)));
    }
  }

  private final Random random;
  private final List<Instance> instances = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private final List<Grant> grants = new ArrayList<>();
  private List<Integer> callersAt;
  private long nowMs;
  private long order;
  private double demandPerSecond;
  private double asked;
  private double refused;
  private int heartbeats;
  private int relayed;

  /** Returns a fleet whose instances have run for a while and know each other. */
  SimulatedQuotaFleet(int seed, int size, int callersAt, double quotaPerSecond) {
    random = new Random(seed);
    Quota quota = new Quota(Quota.Unit.TOKENS, quotaPerSecond, quotaPerSecond, 200);
    for (int i = 0; i < size; i++) {
      Instance instance = new Instance(i, size);
      instance.configure(quota);
      instances.add(instance);
      instance.start();
      every(HEARTBEAT_MS, random.nextInt(HEARTBEAT_MS), instance::tell);
      every(TICK_MS, random.nextInt(TICK_MS), instance::tick);
    }
    moveCallers(callersAt);
    run(12_000);
    request();
  }

  private static Tenant tenant(Quota quota) {
    return new Tenant(TENANT, Set.of("key"), OptionalInt.empty(), Optional.of(quota));
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }

  private void after(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, order++, action));
  }

  private void every(int periodMs, int firstMs, Runnable action) {
    after(
        firstMs,
        () -> {
          action.run();
          every(periodMs, periodMs, action);
        });
  }

  private void request() {
    double perMs = Math.max(1e-6, demandPerSecond / MEAN_TOKENS / TimeUnit.SECONDS.toMillis(1));
    double gapMs = -Math.log(1 - random.nextDouble()) / perMs;
    after(Math.max(0, Math.round(Math.min(gapMs, 20))), gapMs > 20 ? this::request : this::arrive);
  }

  private void arrive() {
    request();
    int tokens =
        (int)
            Math.min(
                MOST_TOKENS,
                LEAST_TOKENS - (MEAN_TOKENS - LEAST_TOKENS) * Math.log(1 - random.nextDouble()));
    Instance instance = instances.get(callersAt.get(random.nextInt(callersAt.size())));
    if (!instance.isRunning()) {
      return;
    }
    GenerationRequest generation =
        new GenerationRequest(Artifact.parse("model"), tokens, 0, List.of());
    asked += tokens;
    QuotaDecision decision =
        instance.quotas.take(tenant(instance.quota), Optional.of(generation), nanos());
    switch (decision) {
      case QuotaDecision.Granted(double units) -> grants.add(new Grant(nowMs, units));
      case QuotaDecision.Exceeded ignored -> refused += tokens;
    }
  }

  /** Sets what callers ask for, in tokens a second. */
  void demand(double tokensPerSecond) {
    demandPerSecond = tokensPerSecond;
  }

  /** Moves all callers to other instances, to so many. */
  void moveCallers(int count) {
    List<Integer> all = new ArrayList<>();
    instances.forEach(instance -> all.add(instance.number));
    Collections.shuffle(all, random);
    callersAt = all.subList(0, Math.min(count, all.size()));
  }

  /** Changes the quota at all instances within 3 s. */
  void quota(double perSecond) {
    Quota quota = new Quota(Quota.Unit.TOKENS, perSecond, perSecond, 200);
    instances.forEach(one -> after(random.nextInt(3_000), () -> one.configure(quota)));
  }

  /** Ends all processes and starts them again within a second. */
  void restartAll() {
    for (Instance instance : instances) {
      int downMs = 500 + random.nextInt(500);
      instance.deafUntilMs = nowMs + downMs;
      after(downMs, instance::start);
    }
  }

  /** Freezes a part of the instances. */
  void freeze(double part, int forMs) {
    instances.stream()
        .limit(Math.round(part * instances.size()))
        .forEach(instance -> instance.deafUntilMs = nowMs + forMs);
  }

  /** Cuts the links between a part of the instances, among them one with callers, and the rest. */
  void part(double part) {
    int cut = (int) Math.max(1, part * instances.size());
    int first = callersAt.getFirst();
    for (int i = 0; i < cut; i++) {
      instances.get((first + i) % instances.size()).side = 1;
    }
  }

  /** Links all instances again. */
  void heal() {
    instances.forEach(instance -> instance.side = 0);
  }

  long nowMs() {
    return nowMs;
  }

  /** Runs the fleet and returns what happened. */
  Result run(int forMs) {
    long startMs = nowMs;
    asked = 0;
    refused = 0;
    heartbeats = 0;
    relayed = 0;
    long endMs = nowMs + forMs;
    while (!events.isEmpty() && events.peek().atMs() <= endMs) {
      Event event = events.poll();
      nowMs = event.atMs();
      event.action().run();
    }
    nowMs = endMs;
    double granted =
        grants.stream().filter(one -> one.atMs() > startMs).mapToDouble(Grant::units).sum();
    double seconds = forMs / (double) TimeUnit.SECONDS.toMillis(1);
    return new Result(
        asked > 0 ? refused / asked : 0,
        granted / seconds,
        heartbeats / seconds,
        relayed / seconds);
  }

  /** What happened in a time. */
  record Result(double refusedPart, double grantedPerSecond, double heartbeats, double relayed) {}

  /** Returns the most tokens that were granted in a window since a time. */
  double mostInWindow(long sinceMs) {
    ArrayDeque<Grant> window = new ArrayDeque<>();
    double sum = 0;
    double most = 0;
    for (Grant grant : grants) {
      if (grant.atMs() < sinceMs) {
        continue;
      }
      window.add(grant);
      sum += grant.units();
      while (grant.atMs() - window.getFirst().atMs() > BOUNDS.window().toMillis()) {
        sum -= window.removeFirst().units();
      }
      most = Math.max(most, sum);
    }
    return most;
  }
}
