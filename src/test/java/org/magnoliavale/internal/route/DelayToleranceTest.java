package org.magnoliavale.internal.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliavale.internal.identifier.ServiceId;

/** Answers the load of calls for a model that no endpoint holds, beside calls for held ones. */
class DelayToleranceTest {
  private static final ServiceId SERVICE = new ServiceId("assistant");
  private static final Optional<String> MODEL = Optional.of("m");

  private static Route route(long targetMs) {
    return new Route(
        "r" + targetMs,
        "menus.example",
        "/" + targetMs + "/",
        CallKind.STREAM,
        false,
        0,
        1,
        Duration.ofSeconds(30),
        Duration.ofMillis(targetMs),
        List.of(new WeightedService(SERVICE, 1)));
  }

  private static RouteTable table(long loadMs, long... targetsMs) {
    ModelSpecification model =
        new ModelSpecification(
            "m",
            70_000,
            Duration.ofMillis(loadMs),
            Duration.ofMillis(loadMs / 5),
            Duration.ofMillis(loadMs / 10),
            0,
            0);
    EngineSpecification engine =
        new EngineSpecification(16, 60_000, 200_000, 8, 13, Map.of("m", model));
    List<Route> routes = new ArrayList<>();
    for (long target : targetsMs) {
      routes.add(route(target));
    }
    return RouteTable.of(
        1, routes, List.of(new ServiceSpecification(SERVICE, 100, Optional.of(engine))), 1_000);
  }

  private static boolean isTolerant(RouteTable table, long targetMs) {
    return DelayTolerance.of(table, route(targetMs), SERVICE, MODEL);
  }

  @ParameterizedTest
  @CsvSource({
    "8000, 600, 1500, 8000, 8000",
    "8600, 800, 2000, 8000, 8000",
    "9000, 600, 1500, 10000, 10000",
    "1200, 400, 500, 3000, 3000",
    "3000, 500, 500, 5000, 5000",
    "6400, 500, 500, 5000, 5000"
  })
  void targetThatLeavesTimeForALoadIsTolerant(
      long loadMs, long first, long second, long third, long targetMs) {
    assertThat(isTolerant(table(loadMs, first, second, third), targetMs)).isTrue();
  }

  @ParameterizedTest
  @CsvSource({
    "8000, 600, 1500, 8000, 600",
    "8000, 600, 1500, 8000, 1500",
    "8600, 800, 2000, 8000, 800",
    "8600, 800, 2000, 8000, 2000",
    "1200, 500, 2000, 2000, 500",
    "1200, 500, 2000, 2000, 2000",
    "1200, 400, 500, 3000, 400",
    "1200, 400, 500, 3000, 500",
    "3000, 500, 500, 5000, 500"
  })
  void targetOfACallerWhoLooksOnIsUrgent(
      long loadMs, long first, long second, long third, long targetMs) {
    assertThat(isTolerant(table(loadMs, first, second, third), targetMs)).isFalse();
  }

  @Test
  void onlyTargetOfAServiceCountsByItself() {
    assertThat(isTolerant(table(8_000, 8_000), 8_000)).isTrue();
    assertThat(isTolerant(table(8_000, 3_000), 3_000)).isFalse();
  }

  @Test
  void callWithoutAModelThatCanBeLoadedIsUrgent() {
    RouteTable table = table(8_000, 600, 8_000);
    assertThat(DelayTolerance.of(table, route(8_000), SERVICE, Optional.empty())).isFalse();
    assertThat(DelayTolerance.of(table, route(8_000), SERVICE, Optional.of("other"))).isFalse();
    assertThat(isTolerant(table(0, 600, 8_000), 8_000)).isFalse();
  }
}
