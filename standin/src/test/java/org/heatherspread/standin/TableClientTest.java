package org.heatherspread.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.ServerSocket;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.heatherspread.backing.table.DynamoTableStore;
import org.heatherspread.backing.table.TableAccessListener.Outcome;
import org.heatherspread.backing.table.TableSettings;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.store.Condition;
import org.heatherspread.core.store.Row;
import org.heatherspread.core.store.RowKey;
import org.heatherspread.core.store.WriteResult;
import org.heatherspread.standin.http.StandinServer;
import org.heatherspread.standin.table.TableStandin;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests {@link DynamoTableStore} against the stand-in over loopback. */
class TableClientTest {
  private static final List<Outcome> outcomes = Collections.synchronizedList(new ArrayList<>());
  private static StandinServer server;
  private static StandinClient control;
  private static DynamoTableStore store;
  private final RowKey key = new RowKey("config", UUID.randomUUID().toString());

  @BeforeAll
  static void start() {
    server = StandinServer.start("127.0.0.1", 0, s -> TableStandin.create(s, 1));
    control = new StandinClient(server.port());
    store = createStore(control.baseUrl(), Duration.ofSeconds(10));
  }

  @AfterAll
  static void stop() {
    store.close();
    server.close();
  }

  private static DynamoTableStore createStore(String baseUrl, Duration timeout) {
    TableSettings settings =
        TableSettings.defaults().withEndpoint(URI.create(baseUrl)).withCallTimeout(timeout);
    return DynamoTableStore.create(settings, (access, outcome, took) -> outcomes.add(outcome));
  }

  private Row row(long version, String writeId) {
    return new Row(key, version, writeId, "{\"a\":\"ü\"}");
  }

  private static ErrorKind failureKind(CompletableFuture<?> operation) {
    try {
      operation.join();
    } catch (CompletionException e) {
      return ((ServingException) e.getCause()).kind();
    }
    throw new AssertionError("the operation did not fail");
  }

  private static int fetchWriteCount() throws Exception {
    return control.sendJson("GET", "/standin/counters", "").path("writes").asInt();
  }

  @Test
  void conditionsDecideWhichWriteTakesEffect() {
    outcomes.clear();
    assertThat(store.get(key).join()).isEmpty();
    assertThat(store.put(row(1, "w1"), Condition.absent()).join()).isEqualTo(WriteResult.APPLIED);
    assertThat(store.put(row(1, "w2"), Condition.absent()).join()).isEqualTo(WriteResult.CONFLICT);
    assertThat(store.put(row(2, "w3"), Condition.versionIs(1)).join())
        .isEqualTo(WriteResult.APPLIED);
    assertThat(store.get(key).join()).contains(row(2, "w3"));
    assertThat(store.delete(key, Condition.versionIs(1)).join()).isEqualTo(WriteResult.CONFLICT);
    assertThat(store.delete(key, Condition.versionIs(2)).join()).isEqualTo(WriteResult.APPLIED);
    assertThat(outcomes)
        .containsExactly(
            Outcome.SERVED,
            Outcome.SERVED,
            Outcome.CONFLICT,
            Outcome.SERVED,
            Outcome.SERVED,
            Outcome.CONFLICT,
            Outcome.SERVED);
  }

  @Test
  void queryReadsPartitionInOrder() {
    for (int i = 1; i <= 4; i++) {
      Row row = new Row(new RowKey("log", "0" + i), 1, "w" + i, "{}");
      store.put(row, Condition.absent()).join();
    }
    assertThat(store.query("log", "", 10).join()).hasSize(4);
    assertThat(store.query("log", "01", 2).join())
        .extracting(Row::writeId)
        .containsExactly("w2", "w3");
  }

  @Test
  void writeWithLostResponseHasUnknownOutcomeAndIsApplied() throws Exception {
    final int writesBefore = fetchWriteCount();
    control.send("POST", "/standin/faults", "{\"lost_next\":1}");
    assertThat(failureKind(store.put(row(1, "w1"), Condition.absent())))
        .isEqualTo(ErrorKind.STORE_OUTCOME_UNKNOWN);
    assertThat(store.get(key).join()).contains(row(1, "w1"));
    assertThat(fetchWriteCount() - writesBefore).isEqualTo(1);
  }

  @Test
  void operationsDuringOutageHaveNoEffect() throws Exception {
    control.send("POST", "/standin/faults", "{\"outage\":true}");
    assertThat(failureKind(store.put(row(1, "w1"), Condition.absent())))
        .isEqualTo(ErrorKind.STORE_UNAVAILABLE);
    assertThat(failureKind(store.get(key))).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
    control.send("POST", "/standin/faults", "{\"outage\":false}");
    assertThat(store.get(key).join()).isEmpty();
  }

  @Test
  void unresponsiveServiceLeavesWriteOutcomeUnknown() throws Exception {
    control.send("POST", "/standin/faults", "{\"stall\":true}");
    try (DynamoTableStore shortTimeoutStore =
        createStore(control.baseUrl(), Duration.ofMillis(300))) {
      assertThat(failureKind(shortTimeoutStore.put(row(1, "w1"), Condition.absent())))
          .isEqualTo(ErrorKind.STORE_OUTCOME_UNKNOWN);
      assertThat(failureKind(shortTimeoutStore.get(key))).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
    } finally {
      control.send("POST", "/standin/faults", "{\"stall\":false}");
    }
  }

  @Test
  void refusedConnectionMeansStoreUnavailable() throws Exception {
    int freePort;
    try (ServerSocket socket = new ServerSocket(0)) {
      freePort = socket.getLocalPort();
    }
    try (DynamoTableStore unreachableStore =
        createStore("http://127.0.0.1:" + freePort, Duration.ofSeconds(10))) {
      assertThat(failureKind(unreachableStore.put(row(1, "w1"), Condition.absent())))
          .isEqualTo(ErrorKind.STORE_UNAVAILABLE);
    }
  }
}
