package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.dispatch.EndpointForecast;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.dispatch.GenerationRequest;
import org.magnoliavale.internal.dispatch.ReportedLoad;
import org.magnoliavale.internal.dispatch.SelectionCriteria;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.limit.EndpointLimits;
import org.magnoliavale.internal.link.LoadRows;
import org.magnoliavale.internal.link.protocol.Heartbeat;

class LoadExchangeTest {
  private static final EndpointIdentity ENDPOINT = new EndpointIdentity("a", 1);
  private static final int LIMIT = 100;
  private static final int INSTANCES = 28;

  private long now = TimeUnit.SECONDS.toNanos(100);
  private final EndpointPool east = pool();
  private final EndpointPool relay = pool();
  private final EndpointPool west = pool();

  private static EndpointPool pool() {
    return new EndpointPool(
        "east",
        () -> INSTANCES,
        new EndpointDepartures(),
        EndpointLimits.ofSingleInstance(),
        new Random(1));
  }

  @BeforeEach
  void list() {
    for (EndpointPool pool : List.of(east, relay, west)) {
      pool.update(List.of(TestEntries.entry("a", 1, "m"), TestEntries.entry("b", 1, "m")), now);
    }
  }

  private void advance(long milliseconds) {
    now += TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  private int tell(EndpointPool from, boolean relayed, EndpointPool to) {
    Heartbeat.Builder heartbeat = Heartbeat.newBuilder();
    new LoadExchange(from).addTo(heartbeat, relayed, now);
    new LoadExchange(to).apply(heartbeat.build(), now);
    return heartbeat.getLoadEndpointsCount();
  }

  private EndpointForecast forecast(EndpointPool pool) {
    GenerationRequest generation = new GenerationRequest(Artifact.parse("m"), 100, 10, List.of());
    return pool.forecasts(
            new SelectionCriteria(TestEntries.SERVICE, Optional.of(generation), Set.of()),
            LIMIT,
            now)
        .getFirst();
  }

  @Nested
  class Reports {
    @Test
    void reachAnInstanceThatGetsNoAnswersItself() {
      east.recordLoad(ENDPOINT, new ReportedLoad(6, 1, 8, 130), now);
      advance(300);
      tell(east, false, relay);
      advance(400);
      tell(relay, true, west);
      assertThat(forecast(west).requests()).isEqualTo(7);
      assertThat(forecast(west).reportAgeMs()).isEqualTo(700);
    }

    @Test
    void arePassedOnOnlyByInstancesThatRelay() {
      east.recordLoad(ENDPOINT, new ReportedLoad(6, 1, 8), now);
      tell(east, false, relay);
      assertThat(tell(relay, false, west)).isZero();
      assertThat(tell(relay, true, west)).isOne();
    }

    @Test
    void ofTwoCountsTheNewerOne() {
      west.recordLoad(ENDPOINT, new ReportedLoad(1, 0, 8), now);
      advance(100);
      east.recordLoad(ENDPOINT, new ReportedLoad(5, 0, 8), now);
      advance(100);
      tell(east, false, west);
      assertThat(forecast(west).requests()).isGreaterThan(4);
      tell(west, true, east);
      assertThat(forecast(east).requests()).isEqualTo(5);
    }

    @Test
    void areToldOnceWhileTheyDoNotChange() {
      east.recordLoad(ENDPOINT, new ReportedLoad(6, 1, 8), now);
      assertThat(tell(east, false, west)).isOne();
      assertThat(tell(east, false, west)).isZero();
      advance(100);
      east.recordLoad(ENDPOINT, new ReportedLoad(6, 1, 8), now);
      assertThat(tell(east, false, west)).isZero();
      advance(100);
      east.recordLoad(ENDPOINT, new ReportedLoad(7, 1, 8), now);
      assertThat(tell(east, false, west)).isOne();
    }

    @Test
    void ofAnIdleFleetAreNotToldAtAll() {
      east.recordLoad(ENDPOINT, new ReportedLoad(6, 1, 8), now);
      advance(10_000);
      assertThat(tell(east, true, west)).isZero();
    }

    @Test
    void doNotGoRoundBetweenTwoInstancesThatRelay() {
      east.recordLoad(ENDPOINT, new ReportedLoad(6, 1, 8), now);
      int told = 0;
      for (int i = 0; i < 20; i++) {
        told += tell(east, true, relay);
        advance(1);
        told += tell(relay, true, east);
        advance(99);
      }
      assertThat(told).isLessThanOrEqualTo(2);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "-1, 1, 1, 8, 100",
    "2000000000, 1, 1, 8, 100",
    "0, -5, 1, 8, 100",
    "0, 1, 2000000000, 8, 100",
    "0, 1, 1, -8, 100",
    "0, 1, 1, 8, 0",
    "0, 1, 1, 8, 2000000000"
  })
  void rowsThatMakeNoSenseAreIgnored(
      int ageMs, int running, int waiting, int slots, int slowdownPercent) {
    Heartbeat.Builder heartbeat = Heartbeat.newBuilder();
    int endpoint = ENDPOINT.toString().hashCode();
    LoadRows.add(
        heartbeat, new LoadRows.Row(endpoint, ageMs, running, waiting, slots, slowdownPercent));
    heartbeat.addLoadEndpoints(endpoint).addLoadValues(1);
    new LoadExchange(west).apply(heartbeat.build(), now);
    assertThat(forecast(west).reportAgeMs()).isEqualTo(-1);
  }
}
