package org.magnoliavale.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.platform.Transaction;

/** Runs the client of the platform's store against its stand-in. */
class StoreClientTest extends StoreFixture {
  private static final String TABLE = "fleet";

  private long write(String key, String value) {
    StoreClient.Result result =
        client.apply(TABLE, Transaction.builder().write(key, value).build());
    assertThat(result).isInstanceOf(StoreClient.Result.Success.class);
    return ((StoreClient.Result.Success) result).newestVersion();
  }

  private static String text(StoreClient.StoredRow row) {
    return new String(row.value(), StandardCharsets.UTF_8);
  }

  @Nested
  class Ranges {
    @Test
    void returnTheRowsOfOneTableFromAKeyOn() {
      write("a", "1");
      write("b", "2");
      store.write("other", "c", "3".getBytes(StandardCharsets.UTF_8));
      var rows = ((StoreClient.Result.Success) client.readAll(TABLE, "b")).rows();
      assertThat(rows).extracting(StoreClient.StoredRow::key).containsExactly("b");
      assertThat(text(rows.getFirst())).isEqualTo("2");
    }

    @Test
    void omitDeletedRows() {
      write("a", "1");
      client.apply(TABLE, Transaction.builder().delete("a").build());
      assertThat(((StoreClient.Result.Success) client.readAll(TABLE, "")).rows()).isEmpty();
    }
  }

  @Nested
  class Conditions {
    @Test
    void holdForTheVersionThatWasWritten() {
      long version = write("a", "1");
      StoreClient.Result result =
          client.apply(TABLE, Transaction.builder().require("a", version).write("a", "2").build());
      assertThat(result).isInstanceOf(StoreClient.Result.Success.class);
    }

    @Test
    void failWithTheCurrentRowAndChangeNothing() {
      long version = write("a", "1");
      StoreClient.Result result =
          client.apply(
              TABLE,
              Transaction.builder()
                  .require("a", version - 1)
                  .write("a", "2")
                  .write("b", "2")
                  .build());
      assertThat(result).isInstanceOf(StoreClient.Result.ConditionFailed.class);
      assertThat(((StoreClient.Result.ConditionFailed) result).rows().getFirst().version())
          .isEqualTo(version);
      assertThat(((StoreClient.Result.Success) client.readAll(TABLE, "")).rows()).hasSize(1);
    }
  }

  @Nested
  class Changes {
    @Test
    void areReturnedInOrderWithDeletions() {
      long version = write("a", "1");
      write("b", "2");
      client.apply(TABLE, Transaction.builder().delete("a").build());
      var rows =
          ((StoreClient.Result.Success) client.awaitChanges(TABLE, version, Duration.ZERO)).rows();
      assertThat(rows).extracting(StoreClient.StoredRow::key).containsExactly("b", "a");
      assertThat(rows.getLast().value()).isNull();
    }

    @Test
    void endAnOpenPoll() {
      long version = write("a", "1");
      Thread writer = Thread.ofVirtual().start(() -> write("b", "2"));
      var rows = ((StoreClient.Result.Success) client.awaitChanges(TABLE, version, TIMEOUT)).rows();
      assertThat(rows).extracting(StoreClient.StoredRow::key).containsExactly("b");
      assertThat(writer).isNotNull();
    }
  }

  @Nested
  class Generation {
    private final StoreGeneration generation = new StoreGeneration();

    private long observe(String value) {
      return generation.observe(HttpFields.build().put("Store-Era", value));
    }

    @Test
    void isThatOfTheAnswers() {
      write("a", "1");
      long before = client.generation();
      assertThat(((StoreClient.Result.Success) client.readAll(TABLE, "")).generation())
          .isEqualTo(before);
      store.restore(store.copy());
      assertThat(((StoreClient.Result.Success) client.readAll(TABLE, "")).generation())
          .isEqualTo(before + 1);
      assertThat(client.generation()).isEqualTo(before + 1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"-1", "", "x", "1.5", "99999999999999999999", "32768", "0"})
    void thatCannotBeReadIsIgnored(String value) {
      observe("7");
      assertThat(observe(value)).isEqualTo(7);
      assertThat(generation.newest()).isEqualTo(7);
    }

    @Test
    void ofALateAnswerDoesNotReplaceANewerOne() {
      observe("7");
      assertThat(observe("6")).isEqualTo(6);
      assertThat(generation.newest()).isEqualTo(7);
    }
  }
}
