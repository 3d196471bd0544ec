package org.magnoliavale.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.route.ConfigurationPollResult;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.platform.standin.StoreStandIn;

/** Guards against a configuration that cannot be read, after which no later one is applied. */
class StoreConfigurationSourceTest extends StoreFixture {
  private static final String SECOND = configuration(2, "\"service\":\"s\"");

  private static final Duration POLL_TIMEOUT = Duration.ofMillis(100);

  private static String configuration(int version, String service) {
    return "{\"version\":"
        + version
        + ",\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"prefix\":\"/p/\","
        + "\"kind\":\"safe\",\"timeout-ms\":900,"
        + service
        + "}],\"services\":[{\"name\":\"s\"}]}";
  }

  private void write(String text) {
    store.write("op", "config", text.getBytes(StandardCharsets.UTF_8));
  }

  private static long version(ConfigurationPollResult result) {
    assertThat(result).isInstanceOf(ConfigurationPollResult.Found.class);
    RouteTable table = ((ConfigurationPollResult.Found) result).routes();
    return table.version();
  }

  @ParameterizedTest
  @ValueSource(strings = {"{", "[[[[", "\"service\":\"\"", "\"service\":\"a b/c\""})
  void laterConfigurationIsAppliedAfterOneThatCannotBeRead(String odd) {
    StoreConfigurationSource source = new StoreConfigurationSource(client, TIMEOUT.dividedBy(2));
    write(configuration(1, "\"service\":\"s\""));
    assertThat(version(source.poll())).isEqualTo(1);
    write(odd.startsWith("\"") ? configuration(2, odd) : odd);
    assertThat(source.poll()).isInstanceOf(ConfigurationPollResult.Unavailable.class);
    write(SECOND);
    assertThat(version(source.poll())).isEqualTo(2);
  }

  @Test
  void readFindsTheConfigurationAndLeavesTheChangeToThePoll() {
    StoreConfigurationSource source = new StoreConfigurationSource(client, POLL_TIMEOUT);
    write(configuration(1, "\"service\":\"s\""));
    assertThat(version(source.poll())).isEqualTo(1);
    write(SECOND);
    assertThat(version(source.read())).isEqualTo(2);
    assertThat(version(source.poll(TIMEOUT.dividedBy(2)))).isEqualTo(2);
  }

  /** Guards against a wait for a version that a restored store gives out again much later. */
  @Test
  void waitIsVoidOnceAnyAnswerNamesAnotherGeneration() {
    StoreConfigurationSource source = new StoreConfigurationSource(client, POLL_TIMEOUT);
    write(configuration(1, "\"service\":\"s\""));
    StoreStandIn.Copy copy = store.copy();
    assertThat(version(source.poll())).isEqualTo(1);
    assertThat(source.isWaitVoid()).isFalse();
    store.restore(copy);
    client.readAll("servers", "");
    assertThat(source.isWaitVoid()).isTrue();
    source.poll();
    assertThat(source.isWaitVoid()).isFalse();
  }

  /** Guards against changes that are missed when the store gives versions out again. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3, 10})
  void changeIsFoundAfterTheStoreWasRestoredFromACopy(int writesSince) {
    StoreConfigurationSource source = new StoreConfigurationSource(client, POLL_TIMEOUT);
    write(configuration(1, "\"service\":\"s\""));
    StoreStandIn.Copy copy = store.copy();
    for (int i = 0; i < 3; i++) {
      store.write("op", "other", new byte[] {1});
    }
    assertThat(version(source.poll())).isEqualTo(1);
    store.restore(copy);
    write(SECOND);
    for (int i = 0; i < writesSince; i++) {
      store.write("op", "other", new byte[] {1});
    }
    assertThat(version(source.poll())).isEqualTo(2);
  }
}
