package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliavale.internal.tenant.Configurations.tenant;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.containment.CrashKeys;
import org.magnoliavale.internal.containment.Fingerprint;
import org.magnoliavale.internal.dispatch.GenerationRequest;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.identifier.TenantId;
import org.magnoliavale.internal.route.Route;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.Tenant;
import org.magnoliavale.internal.route.TenantTable;
import org.magnoliavale.internal.tenant.CallerIdentity;
import org.magnoliavale.internal.tenant.Configurations;

/** Calls on their way through the steps of their entry: route, key, quota. */
class TenantCallTest extends CallFixture {
  private static final String KEY = "key-of-a";
  private static final String URGENT_KEY = "key-of-b";
  private static final String PRIORITY = "X-Request-Priority";

  /** Records what is asked of quotas; grants until it is told otherwise. */
  private static final class RecordingQuota implements QuotaCheck {
    private final List<String> events = new ArrayList<>();
    private Decision decision = new Decision.Granted();

    @Override
    public Decision take(Tenant tenant, Optional<GenerationRequest> generation, long nowNanos) {
      events.add("take " + tenant.id() + tokens(generation));
      return decision;
    }

    @Override
    public void giveBack(Tenant tenant, Optional<GenerationRequest> generation, long nowNanos) {
      events.add("give back " + tenant.id() + tokens(generation));
    }

    private static String tokens(Optional<GenerationRequest> generation) {
      return generation.map(request -> " " + request.promptTokens()).orElse("");
    }
  }

  private final RecordingQuota quota = new RecordingQuota();
  private List<Tenant> tenants =
      List.of(
          tenant("a", KEY),
          new Tenant(new TenantId("b"), Set.of(URGENT_KEY), OptionalInt.of(2), Optional.empty()));
  private long version = 1;

  @Override
  QuotaCheck quota() {
    return quota;
  }

  @Override
  RouteTable createTable() {
    RouteTable table = super.createTable();
    List<Route> routes = new ArrayList<>();
    for (String path : List.of("/safe/x", "/unsafe/x", "/stream/x")) {
      routes.add(table.match("menus.example", path).orElseThrow());
    }
    routes.add(openRoute());
    return RouteTable.of(
        version, routes, table.services(), TenantTable.of(tenants), table.maximumBodyBytes());
  }

  private static Route openRoute() {
    Route route = Configurations.route(true);
    return new Route(
        "open",
        route.host(),
        "/open/",
        route.kind(),
        false,
        1,
        1,
        route.timeout(),
        Duration.ofMillis(200),
        Duration.ZERO,
        true,
        List.of(new org.magnoliavale.internal.route.WeightedService(TestEntries.SERVICE, 1)));
  }

  private void expectUnauthenticated() {
    assertThat(caller.status()).isEqualTo(401);
    assertThat(caller.ending()).isEqualTo("whole");
    assertThat(caller.headers().get("X-Request-Attempt-Id")).isEqualTo("id-1");
    assertThat(caller.body()).contains("unauthenticated").doesNotContain(KEY);
    assertThat(connector.sent()).isEmpty();
    assertThat(calls.size()).isZero();
  }

  @Nested
  class Key {
    @Test
    void thatIsValidPassesTheCallOnWithItsTenantAndWithoutTheKey() {
      call("/safe/x", "X-Key", KEY, "X-Tenant", "b");
      assertThat(connector.last().request().headers().getValuesList("X-Tenant"))
          .containsExactly("a");
      assertThat(connector.last().request().headers().contains("X-Key")).isFalse();
      connector.last().respond(200, "done");
      assertThat(caller.status()).isEqualTo(200);
      assertThat(caller.headers().contains("X-Tenant")).isFalse();
    }

    @Test
    void thatIsMissingIsAnsweredAtOnce() {
      call("/safe/x");
      expectUnauthenticated();
      assertThat(counter("calls_unauthenticated")).isEqualTo(1);
    }

    @Test
    void thatIsUnknownIsAnsweredAtOnce() {
      call("/unsafe/x", "X-Key", "key-of-nobody");
      expectUnauthenticated();
    }

    @Test
    void thatIsEmptyIsAnsweredAtOnce() {
      tenants = List.of(tenant("a"));
      call("/stream/x", "X-Key", "");
      expectUnauthenticated();
    }

    @Test
    void isNotAskedForBeforeTheFirstConfiguration() {
      table = null;
      call("/safe/x");
      assertThat(caller.status()).isEqualTo(503);
    }

    @Test
    void isNotAskedForWithoutARoute() {
      call("/nowhere/x");
      assertThat(caller.status()).isEqualTo(404);
    }

    @Test
    void isPassedOnAsAnyOtherHeaderIfThereAreNoTenants() {
      tenants = List.of();
      call("/safe/x", "X-Key", KEY, "X-Tenant", "b");
      assertThat(connector.last().request().headers().get("X-Key")).isEqualTo(KEY);
      assertThat(connector.last().request().headers().get("X-Tenant")).isEqualTo("b");
    }

    @Test
    void thatIsTakenAwayDoesNotEndTheStreamThatHasBegun() {
      call("/stream/x", "X-Key", KEY);
      connector.last().begin(200);
      connector.last().content(EVENT_ONE);
      version = 2;
      tenants = List.of(tenant("b", URGENT_KEY));
      connector.last().content(EVENT_TWO);
      connector.last().listener().onCompleted();
      assertThat(caller.body()).contains(EVENT_ONE + EVENT_TWO);
      caller = new RecordingCaller();
      call("/stream/x", "X-Key", KEY);
      assertThat(caller.status()).isEqualTo(401);
    }
  }

  @Nested
  class OpenRoute {
    @Test
    void takesACallWithoutAKeyAndNamesNoTenant() {
      call("/open/x", "X-Tenant", "b");
      assertThat(connector.last().request().headers().contains("X-Tenant")).isFalse();
      assertThat(quota.events).isEmpty();
    }

    @Test
    void hidesAnUnknownKeyAndNamesNoTenant() {
      call("/open/x", "X-Key", "key-of-nobody", "X-Tenant", "b");
      assertThat(connector.last().request().headers().contains("X-Key")).isFalse();
      assertThat(connector.last().request().headers().contains("X-Tenant")).isFalse();
    }

    @Test
    void namesTheTenantOfAValidKey() {
      call("/open/x", "X-Key", URGENT_KEY);
      assertThat(connector.last().request().headers().contains("X-Key")).isFalse();
      assertThat(connector.last().request().headers().get("X-Tenant")).isEqualTo("b");
      assertThat(quota.events).containsExactly("take b");
    }
  }

  @Nested
  class PriorityOfATenant {
    @Test
    void replacesThatOfTheRouteInWhatEndpointsAreTold() {
      call("/safe/x", "X-Key", KEY);
      assertThat(connector.last().request().headers().get(PRIORITY)).isEqualTo("1");
      call("/safe/x", "X-Key", URGENT_KEY);
      assertThat(connector.last().request().headers().get(PRIORITY)).isEqualTo("5");
    }

    @Test
    void replacesThatOfTheRouteInTheChoiceOfAnEndpoint() {
      Tenant plain = tenant("a");
      Tenant urgent = new Tenant(new TenantId("b"), Set.of(), OptionalInt.of(0), Optional.empty());
      assertThat(plan(new CallerIdentity.Known(plain)).urgencyAt(now).priority()).isEqualTo(1);
      assertThat(plan(new CallerIdentity.Known(urgent)).urgencyAt(now).priority()).isZero();
      assertThat(plan(new CallerIdentity.Anonymous()).urgencyAt(now).priority()).isEqualTo(1);
    }

    private CallPlan plan(CallerIdentity identity) {
      byte[] body = {};
      CallRequest request =
          new CallRequest("GET", "h", "/", "/", org.eclipse.jetty.http.HttpFields.EMPTY, body, now);
      return new CallPlan(
          request,
          CallMetadata.unknown(),
          openRoute(),
          identity,
          TestEntries.SERVICE,
          1,
          1,
          new CrashKeys(Fingerprint.of("/", body), List.of()),
          false);
    }
  }

  @Nested
  class QuotaOfATenant {
    @Test
    void isTakenOnceForACallThatIsAnswered() {
      call("/safe/x", "X-Key", KEY, "X-Model", "m", "X-Token-Counts", "100,10");
      connector.last().respond(200, "done");
      assertThat(quota.events).containsExactly("take a 100");
    }

    @Test
    void rejectsACallThatItHasNoRoomFor() {
      quota.decision = new QuotaCheck.Decision.Exceeded(Duration.ofMillis(1_250));
      call("/safe/x", "X-Key", KEY);
      assertThat(caller.status()).isEqualTo(429);
      assertThat(caller.headers().get("Retry-After")).isEqualTo("1.25");
      assertThat(caller.headers().get("X-Request-Attempt-Id")).isEqualTo("id-1");
      assertThat(connector.sent()).isEmpty();
      assertThat(quota.events).containsExactly("take a");
      assertThat(calls.size()).isZero();
    }

    @Test
    void isNotAskedForACallWithoutAValidKey() {
      call("/safe/x", "X-Key", "key-of-nobody");
      assertThat(quota.events).isEmpty();
    }

    @Test
    void isGivenBackIfNoEndpointTakesTheCallInTime() {
      updateEndpoints();
      call("/safe/x", "X-Key", KEY, "X-Model", "m", "X-Token-Counts", "100,10");
      advance(5_000);
      assertThat(caller.status()).isEqualTo(503);
      assertThat(quota.events).containsExactly("take a 100", "give back a 100");
    }

    @Test
    void isGivenBackIfTheInstanceStops() {
      calls.rejectAll();
      call("/safe/x", "X-Key", KEY);
      assertThat(caller.status()).isEqualTo(503);
      assertThat(quota.events).containsExactly("take a", "give back a");
    }

    @Test
    void isNotGivenBackForACallThatMayHaveBeenExecuted() {
      call("/unsafe/x", "X-Key", KEY);
      connector.last().failAfterSend();
      assertThat(caller.status()).isEqualTo(502);
      assertThat(quota.events).containsExactly("take a");
    }
  }

  @Nested
  class Counters {
    @Test
    void countTheCallsOfEachTenantUpToABoundedNumberOfNames() {
      List<Tenant> many = new ArrayList<>();
      for (int i = 0; i < 100; i++) {
        many.add(tenant("t" + i, "k" + i));
      }
      tenants = many;
      for (int i = 0; i < 100; i++) {
        caller = new RecordingCaller();
        call("/safe/x", "X-Key", "k" + i);
      }
      assertThat(counter("calls_of_tenant_t0")).isEqualTo(1);
      assertThat(counter("calls_of_other_tenants")).isEqualTo(36);
    }
  }

  @Nested
  class LogLines {
    private final List<String> lines = new ArrayList<>();
    private final Logger logger = Logger.getLogger("magnoliavale");
    private final Level level = logger.getLevel();
    private final Handler handler =
        new Handler() {
          @Override
          public void publish(LogRecord logRecord) {
            lines.add(new SimpleFormatter().format(logRecord));
          }

          @Override
          public void flush() {}

          @Override
          public void close() {}
        };

    @BeforeEach
    void capture() {
      handler.setLevel(Level.ALL);
      logger.setLevel(Level.ALL);
      logger.addHandler(handler);
    }

    @AfterEach
    void release() {
      logger.removeHandler(handler);
      logger.setLevel(level);
    }

    @Test
    void showNoKey() {
      for (String key : List.of(KEY, "key-of-nobody", "key-\u00ff", KEY + "," + KEY)) {
        for (String path : List.of("/safe/x", "/unsafe/x", "/open/x", "/nowhere/x")) {
          caller = new RecordingCaller();
          call(path, "X-Key", key);
        }
      }
      connector.last().failAfterSend();
      connector.sent().getFirst().respond(200, "done");
      quota.decision = new QuotaCheck.Decision.Exceeded(Duration.ofSeconds(1));
      caller = new RecordingCaller();
      call("/safe/x", "X-Key", KEY);
      calls.rejectAll();
      calls.logUnfinished();
      assertThat(lines).hasSizeGreaterThan(10).noneMatch(line -> line.contains("key-"));
      assertThat(lines)
          .anyMatch(line -> line.contains("Rejected, no valid key. request=id-1"))
          .anyMatch(line -> line.contains("Rejected, quota is used up. request=id-1"));
    }
  }
}
