package org.magnoliavale.benchmark;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.magnoliavale.internal.control.ControlAction;
import org.magnoliavale.internal.control.ControlCore;
import org.magnoliavale.internal.control.ControlEvent;
import org.magnoliavale.internal.control.ControlOptions;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.identifier.DataCentreId;
import org.magnoliavale.internal.lease.LeaseTimes;
import org.magnoliavale.internal.placement.Move;
import org.magnoliavale.internal.placement.PlacementInput;
import org.magnoliavale.internal.placement.Planner;
import org.magnoliavale.internal.routing.EndpointLoadRegistry;
import org.magnoliavale.internal.routing.ModelName;
import org.magnoliavale.internal.routing.RouteDecision;
import org.magnoliavale.internal.routing.Router;
import org.magnoliavale.internal.routing.RoutingPolicy;
import org.magnoliavale.internal.routing.RoutingSnapshot;
import org.magnoliavale.internal.routing.SnapshotBuilder;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/**
 * Measures routing, snapshot, placement and control decisions. The parameter is endpoints x models:
 * 12x20 is the current size, 141x330 one data centre and 3100x330 the whole fleet.
 */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@State(Scope.Thread)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class DecisionCoreBenchmark {
  private static final long START_MS = 1_000_000;

  @Param({"12x20", "141x330", "3100x330"})
  public String size;

  private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(1);
  private final Router router = Router.of(RoutingPolicy.named("earliest-finish"));
  private final ModelName model = ModelName.parse("model-0");
  private SyntheticFleet fleet;
  private SnapshotBuilder builder;
  private RoutingSnapshot snapshot;
  private PlacementInput input;
  private ControlCore core;
  private Endpoint reportingEndpoint;
  private long sequence;

  /** Runs all benchmarks of this class. */
  public static void main(String[] arguments) throws RunnerException {
    new Runner(new OptionsBuilder().include(DecisionCoreBenchmark.class.getSimpleName()).build())
        .run();
  }

  @Setup
  public void build() {
    String[] parts = size.split("x");
    fleet = new SyntheticFleet(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
    builder = new SnapshotBuilder(new EndpointLoadRegistry(), new DataCentreId("here"));
    snapshot = builder.build(fleet.view());
    input = fleet.input();
    core =
        new ControlCore(
            new ControlOptions("self", new LeaseTimes(6_000, 500), 500, new Planner()), random);
    core.handle(new ControlEvent.DocumentInForce(fleet.document()), START_MS);
    for (Endpoint endpoint : fleet.document().endpoints().values()) {
      reportingEndpoint = endpoint;
      core.handle(reportOf(endpoint), START_MS);
    }
  }

  private ControlEvent reportOf(Endpoint endpoint) {
    sequence++;
    return new ControlEvent.ReportReceived(
        endpoint.id(), fleet.report(endpoint.id(), sequence), START_MS);
  }

  @Benchmark
  public Optional<RouteDecision> routeOneRequest() {
    return router.selectForModel(snapshot, model, Set.of(), 0, random);
  }

  @Benchmark
  public RoutingSnapshot buildSnapshot() {
    return builder.build(fleet.view());
  }

  @Benchmark
  public List<Move> onePlacementRound() {
    return new Planner().plan(input);
  }

  @Benchmark
  public List<ControlAction> oneReport() {
    return core.handle(reportOf(reportingEndpoint), START_MS);
  }

  @Benchmark
  public List<ControlAction> oneTick() {
    return core.handle(new ControlEvent.Tick(), START_MS);
  }
}
