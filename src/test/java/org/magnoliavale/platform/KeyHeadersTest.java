package org.magnoliavale.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.call.ForwardingContext;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.tenant.CallerCredential;
import org.magnoliavale.internal.tenant.CallerIdentity;
import org.magnoliavale.internal.tenant.Configurations;

/** What callers and endpoints are told of keys and tenants. */
class KeyHeadersTest {
  private final WorkerProtocol protocol = new WorkerProtocol();
  private final CallerIdentity known =
      new CallerIdentity.Known(Configurations.tenant("acme", "k-1"));

  private HttpFields outgoing(HttpFields fromCaller, CallerIdentity caller) {
    return protocol.requestHeaders(
        fromCaller,
        new ForwardingContext(
            new EndpointIdentity("i-1", 7), Duration.ofMillis(900), 3, Optional.empty(), caller));
  }

  private CallerCredential credential(String... keys) {
    HttpFields.Mutable headers = HttpFields.build();
    for (String key : keys) {
      headers.add("X-Key", key);
    }
    return protocol.parseRequest(headers).credential();
  }

  @Nested
  class Key {
    @Test
    void isReadAsItIs() {
      assertThat(credential("k-1")).isEqualTo(new CallerCredential.Key("k-1"));
      assertThat(protocol.parseRequest(HttpFields.build().put("x-KEY", "k")).credential())
          .isEqualTo(new CallerCredential.Key("k"));
    }

    @Test
    void isAbsentWithoutTheHeader() {
      assertThat(credential()).isEqualTo(new CallerCredential.Absent());
    }

    @Test
    void isMalformedIfItIsEmptyOrThereAreSeveral() {
      assertThat(credential("")).isEqualTo(new CallerCredential.Malformed());
      assertThat(credential("k-1", "k-1")).isEqualTo(new CallerCredential.Malformed());
      assertThat(credential("", "k-1")).isEqualTo(new CallerCredential.Malformed());
    }
  }

  @Nested
  class Request {
    @ParameterizedTest
    @ValueSource(
        strings = {
          "X-Key",
          "x-key",
          "X-KEY",
          "X_Key",
          "x_KEY",
          "X-Tenant",
          "x-tenant",
          "X-TENANT",
          "X_Tenant",
          "x_tenant"
        })
    void hasNeitherTheKeyNorATenantOfTheCaller(String name) {
      HttpFields fields = HttpFields.build().add(name, "k-1").add(name, "").add(name, "other");
      HttpFields anonymous = outgoing(fields, new CallerIdentity.Anonymous());
      assertThat(anonymous.contains(name)).isFalse();
      HttpFields headers = outgoing(fields, known);
      assertThat(headers.getValuesList("X-Tenant")).containsExactly("acme");
      assertThat(headers.asString()).doesNotContain("k-1", "other");
    }

    @Test
    void hasTheTenantAlsoIfTheCallerListsItAsHopByHop() {
      HttpFields fields =
          HttpFields.build().put("Connection", "X-Tenant, X-Key").put("X-Key", "k-1");
      HttpFields headers = outgoing(fields, known);
      assertThat(headers.getValuesList("X-Tenant")).containsExactly("acme");
      assertThat(headers.contains("X-Key")).isFalse();
    }

    @Test
    void hasBothAsTheyAreIfTheConfigurationHasNoTenants() {
      HttpFields fields = HttpFields.build().put("X-Key", "k-1").put("X-Tenant", "t");
      HttpFields headers = outgoing(fields, new CallerIdentity.Unchecked());
      assertThat(headers.get("X-Key")).isEqualTo("k-1");
      assertThat(headers.get("X-Tenant")).isEqualTo("t");
    }
  }

  @Nested
  class Configuration {
    private RouteTable decode(String tenants) throws IOException {
      String text = "{\"version\": 1, \"tenants\": " + tenants + "}";
      return ConfigurationDecoder.decode(text.getBytes(StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "null", "1", "true", "{}"})
    void hasNoKeyThatIsEmptyOrNoText(String key) throws IOException {
      RouteTable table =
          decode("[{\"name\": \"a\", \"keys\": [\"\", null, 1, true, {}, \"k-1\"]}]");
      assertThat(table.tenants().ofKey(key)).isEmpty();
      assertThat(table.tenants().ofKey("k-1")).isPresent();
    }

    @ParameterizedTest
    @ValueSource(strings = {"[{\"name\": \"a\"}]", "[{\"name\": \"a\", \"keys\": 7}]"})
    void mayHaveATenantWithoutKeys(String tenants) throws IOException {
      assertThat(decode(tenants).tenants().tenants()).hasSize(1);
      assertThat(decode(tenants).tenants().isEmpty()).isFalse();
    }

    @Test
    void isNotQuotedByTheFailureIfItIsMalformed() {
      assertThatThrownBy(() -> decode("[{\"name\": \"a\", \"keys\": [\"k-1\", k-2]}]"))
          .isInstanceOf(IOException.class)
          .hasMessageStartingWith("malformed JSON")
          .hasMessageNotContaining("k-");
    }
  }
}
