package org.magnoliavale.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.dispatch.ReportedLoad;
import org.magnoliavale.internal.route.EngineSpecification;
import org.magnoliavale.internal.route.Route;
import org.magnoliavale.internal.route.RouteTable;

/** Guards against a number from outside that overflows or throws where it is used later. */
class ExtremeNumbersTest {
  private static final long DAY_MS = 86_400_000;

  private final WorkerProtocol protocol = new WorkerProtocol();

  private Optional<Duration> timeRemaining(String value) {
    HttpFields headers = HttpFields.build().put("X-Time-Remaining", value);
    return protocol.parseRequest(headers).timeRemaining();
  }

  @Nested
  class TimeRemaining {
    @ParameterizedTest
    @CsvSource({
      "0, 0",
      "1, 1",
      "+5, 5",
      "' 7 ', 7",
      "86400001, 86400000",
      "9223372036854775807, 86400000",
      "9223372036854775808, 86400000",
      "99999999999999999999999999999999999999999999, 86400000",
      "-1, 0",
      "-9223372036854775808, 0",
      "-9223372036854775809, 0"
    })
    void isReadWithinItsBounds(String value, long expectedMs) {
      assertThat(timeRemaining(value)).contains(Duration.ofMillis(expectedMs));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " ", "1e300", "NaN", "Infinity", "0x10", "5.5", "+", "-", "5 5"})
    void isAbsentIfItIsNoWholeNumber(String value) {
      assertThat(timeRemaining(value)).isEmpty();
    }

    @Property(tries = 1_000, seed = "20261206")
    void isBetweenNothingAndADayForAnyText(@ForAll String value) {
      timeRemaining(value.replaceAll("[^ -~]", "9"))
          .ifPresent(time -> assertThat(time.toMillis()).isBetween(0L, DAY_MS));
    }

    @Property(tries = 1_000, seed = "20261206")
    void isBetweenNothingAndADayForAnyNumber(@ForAll long value) {
      Duration time = timeRemaining(Long.toString(value)).orElseThrow();
      assertThat(time.toMillis()).isBetween(0L, DAY_MS);
    }
  }

  @Nested
  class OtherHeaders {
    @ParameterizedTest
    @CsvSource({
      "-1, 0",
      "2147483648, 10000000",
      "4294967296, 10000000",
      "9223372036854775808, 10000000",
      "1e300, 0",
      "NaN, 0",
      "0x10, 0",
      "+5, 5"
    })
    void tokenCountsAreNotNegativeAndBounded(String value, int expected) {
      HttpFields headers =
          HttpFields.build()
              .put("X-Model", "m")
              .put("X-Token-Counts", value + "," + value)
              .put("X-Prompt-Prefix", "ab:" + value);
      var generation = protocol.parseRequest(headers).generation().orElseThrow();
      assertThat(generation.promptTokens()).isEqualTo(expected);
      assertThat(generation.outputTokens()).isEqualTo(expected);
      assertThat(generation.segments().getFirst().tokens()).isEqualTo(expected);
    }

    private Optional<ReportedLoad> load(String value) {
      return protocol.parseResponse(200, HttpFields.build().put("X-Server-Load", value)).load();
    }

    @ParameterizedTest
    @ValueSource(strings = {"-1,0,8", "0,-1,8", "0,0,-9223372036854775809", "NaN,0,8", "1e300,0,8"})
    void loadThatMakesNoSenseIsIgnored(String value) {
      assertThat(load(value)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"4294967296,0,8", "9223372036854775808,0,8"})
    void loadIsBounded(String value) {
      assertThat(load(value)).contains(new ReportedLoad(1_000_000, 0, 8));
    }

    @ParameterizedTest
    @ValueSource(strings = {"-1", "9223372036854775808", "1e300", "NaN", "", " ", "0x10", "+5"})
    void pauseIsAtMostAMinute(String value) {
      HttpFields headers = HttpFields.build().put("Retry-After", value).put("X-Not-Executed", "1");
      Duration pause = protocol.parseResponse(503, headers).statement().pause();
      assertThat(pause).isBetween(Duration.ZERO, Duration.ofMinutes(1));
    }
  }

  @Nested
  class Configuration {
    private RouteTable decode(String number) throws IOException {
      String text =
          """
          {"version":7,"limits":{"body-bytes":N},
           "routes":[{"name":"r","host":"h","prefix":"/","kind":"safe","timeout-ms":N,
             "target-latency-ms":N,"priority":N,"attempts":N,
             "split":[{"service":"s","weight":N}]}],
           "services":[{"name":"s","connection-limit":N,"engine":{"slots":N,"kv-cache-tokens":N,
             "weights-mb":N,"adapter-slots":N,"loads-per-s":N,"models":[{"name":"m",
             "weights-mb":N,"load-s":N,"disk-s":N,"warm-s":N,"adapters":N,"adapter-mb":N}]}}]}
          """;
      return ConfigurationDecoder.decode(
          text.replace(":N", ":" + number).getBytes(StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "-1",
          "0",
          "2147483648",
          "4294967296",
          "-9223372036854775808",
          "9223372036854775807",
          "9223372036854775808",
          "18446744073709551616",
          "1e300",
          "1e400",
          "-1e300",
          "\"NaN\"",
          "\"\"",
          "\" \"",
          "\"0x10\"",
          "\"+5\"",
          "null",
          "[]"
        })
    void numbersAreWithinTheirBounds(String number) throws IOException {
      RouteTable table = decode(number);
      Route route = table.match("h", "/").orElseThrow();
      assertThat(route.timeout()).isBetween(Duration.ZERO, Duration.ofDays(1));
      assertThat(route.targetLatency()).isBetween(Duration.ZERO, Duration.ofDays(1));
      assertThat(route.priority()).isBetween(0, 1_000);
      assertThat(route.maximumAttempts()).isBetween(1, 1_000);
      assertThat(route.services().getFirst().weight()).isBetween(0.0, 1e12);
      assertThat(table.maximumBodyBytes()).isGreaterThanOrEqualTo(-1);
      var service = table.services().getFirst();
      assertThat(service.connectionLimit()).isPositive();
      EngineSpecification engine = service.engine().orElseThrow();
      assertThat(engine.loadsPerSecond()).isBetween(0.0, 1e12);
      assertThat(engine.slots()).isNotNegative();
      var model = engine.model("m").orElseThrow();
      assertThat(model.storeLoadTime()).isBetween(Duration.ZERO, Duration.ofDays(1));
    }

    /** Guards against a limit beyond an int that refuses every body. */
    @Test
    void limitOfBodiesBeyondAnIntAllowsThem() throws IOException {
      assertThat(decode("4294967296").maximumBodyBytes()).isEqualTo(Integer.MAX_VALUE);
    }

    /** Guards against an empty value that is taken for a configuration without routes. */
    @ParameterizedTest
    @ValueSource(
        strings = {
          "",
          " ",
          "null",
          "0",
          "[]",
          "\"x\"",
          "{}",
          "{\"version\":null}",
          "{\"routes\":[]}"
        })
    void valueWithoutAVersionIsNoConfiguration(String text) {
      assertThat(
              org.assertj.core.api.Assertions.catchThrowable(
                  () -> ConfigurationDecoder.decode(text.getBytes(StandardCharsets.UTF_8))))
          .isInstanceOf(IOException.class);
    }
  }
}
