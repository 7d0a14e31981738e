package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.limit.LimitOwnerClient;
import org.heatherspread.core.limit.LimitOwnerClient.Decision;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.RelayRig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Requests of an account whose limit another daemon keeps. */
class AccountLimitTest {
  private final List<AutoCloseable> open = new ArrayList<>();
  private final List<String> asked = new CopyOnWriteArrayList<>();
  private volatile CompletableFuture<Decision> answer;
  private FakeEndpoint endpoint;

  private RelayRig rig() throws Exception {
    LimitOwnerClient peers =
        (daemon, account, amount) -> {
          asked.add(daemon + ' ' + account + ' ' + (long) amount);
          return answer;
        };
    RelayRig rig = RelayRig.start(null, peers, "keeper");
    endpoint =
        FakeEndpoint.start(
            (request, out) -> out.answer(200, request.header("attempt-id"), "hello"));
    rig.register(endpoint);
    open.add(rig);
    open.add(endpoint);
    return rig;
  }

  @AfterEach
  void stop() throws Exception {
    for (AutoCloseable each : open) {
      each.close();
    }
  }

  @Test
  void followsTheKeepersDecision() throws Exception {
    RelayRig rig = rig();
    answer = CompletableFuture.completedFuture(new Decision(true, OptionalDouble.empty()));
    assertThat(rig.call("GET", "/read/a", "id-1", "Token-Counts: 700,50"))
        .startsWith("HTTP/1.1 200");
    answer = CompletableFuture.completedFuture(new Decision(true, OptionalDouble.of(0.7)));
    assertThat(rig.call("GET", "/read/a", "id-2"))
        .startsWith("HTTP/1.1 429")
        .containsIgnoringCase("retry-after: 0.700");
    assertThat(asked).containsExactly("keeper acme 750", "keeper acme 200");
    assertThat(endpoint.requests()).hasSize(1);
  }

  @Test
  void decidesAloneWhereTheKeeperFailsAndDoesNotAskItAgainAtOnce() throws Exception {
    RelayRig rig = rig();
    answer = CompletableFuture.failedFuture(new IOException("no answer in time"));
    assertThat(rig.call("GET", "/read/a", "id-1")).startsWith("HTTP/1.1 ");
    TimeUnit.MILLISECONDS.sleep(50);
    assertThat(rig.call("GET", "/read/a", "id-2")).startsWith("HTTP/1.1 200");
    assertThat(asked).hasSize(1);
  }

  @Test
  void decidesAloneWhereTheOtherDaemonDoesNotCountItselfAsTheKeeper() throws Exception {
    RelayRig rig = rig();
    answer = CompletableFuture.completedFuture(Decision.NOT_OWNER);
    rig.call("GET", "/read/a", "id-1");
    TimeUnit.MILLISECONDS.sleep(50);
    assertThat(rig.call("GET", "/read/a", "id-2")).startsWith("HTTP/1.1 200");
  }

  @Test
  void runsNothingForCallersWhoLeftWhileTheKeeperWasAsked() throws Exception {
    RelayRig rig = rig();
    answer = new CompletableFuture<>();
    try (RelayRig.Caller caller = rig.caller()) {
      caller.request("POST", "/write/a", "id-1", "X: y");
      while (asked.isEmpty()) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
    }
    TimeUnit.MILLISECONDS.sleep(100);
    rig.onLoop(state -> answer.complete(new Decision(true, OptionalDouble.empty())));
    TimeUnit.MILLISECONDS.sleep(200);
    assertThat(endpoint.requests()).isEmpty();
  }
}
