package org.heatherspread.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.store.InMemoryTableStore;
import org.heatherspread.core.store.SteppedTableStore;
import org.heatherspread.core.time.ManualClock;
import org.junit.jupiter.api.Test;

class ConfirmationTest {
  private static final Duration VALIDITY = Duration.ofMinutes(5);

  private final ManualClock clock = ManualClock.create();
  private final FakeConfigurationFormat format = new FakeConfigurationFormat();
  private int ids;

  private String id() {
    return "id-" + ids++;
  }

  private static AccountSpec account(String name, int concurrency) {
    AccountLimits limits = new AccountLimits(1, 1, concurrency);
    String hash = name.substring(name.length() - 1).repeat(64);
    return new AccountSpec(name, hash, limits, 0, List.of());
  }

  private Plan plan(Configuration base, Intent intent) {
    Planner planner = Planner.create(base, MembershipSnapshot.empty());
    return planner.plan(intent, id(), "operator", clock.millis(), VALIDITY);
  }

  private static ErrorKind kind(CompletableFuture<?> future) {
    try {
      future.join();
      return null;
    } catch (CompletionException e) {
      return ((ServingException) e.getCause()).kind();
    }
  }

  @Test
  void secondOfTwoConflictingPlansFailsWithTheChangedPath() {
    ConfigurationLog log =
        ConfigurationLog.create(InMemoryTableStore.create(), format, clock, this::id);
    Plan first = plan(Configuration.empty(), new Intent.PutAccount(account("a", 1)));
    Plan second = plan(Configuration.empty(), new Intent.PutAccount(account("a", 2)));
    Plan unrelated = plan(Configuration.empty(), new Intent.PutAccount(account("b", 1)));

    assertThat(log.confirm(first, "ada").join().version()).isEqualTo(1);
    CompletableFuture<LogEntry> rejected = log.confirm(second, "bob");
    assertThat(kind(rejected)).isEqualTo(ErrorKind.PLAN_CONFLICT);
    assertThat(rejected.handle((entry, failure) -> failure.getMessage()).join())
        .contains("account/a", "ada");
    assertThat(log.confirm(unrelated, "bob").join().version()).isEqualTo(2);
    assertThat(log.confirm(first, "bob").join().version()).isEqualTo(1);
  }

  @Test
  void removingServiceConflictsWithItsVersionsAndAccountsThatReferToIt() {
    Change remove = new Change.RemoveService("chat");
    Change version =
        new Change.PutVersion("chat", new ModelVersion("v2", List.of(), VersionState.ACTIVE));
    Change domain = new Change.AddDomain("chat", "kadikoy");
    AccountSpec account =
        new AccountSpec("a", "a".repeat(64), new AccountLimits(1, 1, 1), 0, List.of("chat"));

    assertThat(Change.conflicts(remove, version)).isTrue();
    assertThat(Change.conflicts(new Change.PutAccount(account), remove)).isTrue();
    assertThat(Change.conflicts(version, domain)).isFalse();
    assertThat(Change.conflicts(version, new Change.PutAccount(account))).isFalse();
  }

  @Test
  void expiredPlanIsRejectedUnlessConfirmedBefore() {
    ConfigurationLog log =
        ConfigurationLog.create(InMemoryTableStore.create(), format, clock, this::id);
    Plan early = plan(Configuration.empty(), new Intent.PutAccount(account("a", 1)));
    Plan late = plan(Configuration.empty(), new Intent.PutAccount(account("b", 1)));
    log.confirm(early, "ada").join();
    clock.advance(VALIDITY.plusSeconds(1));
    assertThat(kind(log.confirm(late, "ada"))).isEqualTo(ErrorKind.PLAN_EXPIRED);
    assertThat(log.confirm(early, "ada").join().version()).isEqualTo(1);
  }

  /** Writes and responses are lost or delayed, while two operators confirm each plan. */
  @Property(tries = 300, seed = "5", shrinking = ShrinkingMode.OFF)
  void answersAgreeWithTheLogDespiteLostWritesAndResponses(@ForAll long seed) {
    Random random = new Random(seed);
    SteppedTableStore store = new SteppedTableStore(random, 0.4);
    ConfigurationLog log = ConfigurationLog.create(store, format, clock, this::id);
    List<Plan> plans = new ArrayList<>();
    Map<String, CompletableFuture<LogEntry>> answers = new HashMap<>();
    for (int i = 0; i < 6; i++) {
      String name = random.nextBoolean() ? "a" : "b";
      plans.add(plan(Configuration.empty(), new Intent.PutAccount(account(name, i + 1))));
    }
    for (Plan plan : plans) {
      answers.put(plan.id(), log.confirm(plan, "ada"));
      CompletableFuture<LogEntry> repeated = log.confirm(plan, "bob");
      for (int i = random.nextInt(12); i > 0; i--) {
        store.step();
      }
      assertThat(repeated).isNotNull();
    }
    while (store.step()) {
      // Runs all pending operations.
    }
    store.stopFaults();
    checkAgainstLog(plans, answers, log, store);
  }

  private static void checkAgainstLog(
      List<Plan> plans,
      Map<String, CompletableFuture<LogEntry>> answers,
      ConfigurationLog log,
      SteppedTableStore store) {
    CompletableFuture<List<LogEntry>> read = log.readAfter(0);
    while (store.step()) {
      // Runs the pending read.
    }
    Map<String, Long> versions = new HashMap<>();
    long next = 1;
    for (LogEntry entry : read.join()) {
      assertThat(entry.version()).isEqualTo(next++);
      assertThat(versions.put(entry.planId(), entry.version())).isNull();
      assertThat(entry.changes()).hasSize(1);
    }
    long accounts = read.join().stream().map(e -> e.changes().get(0).path()).distinct().count();
    assertThat(accounts).as("no two conflicting plans won").isEqualTo(read.join().size());
    for (Plan plan : plans) {
      CompletableFuture<LogEntry> answer = answers.get(plan.id());
      assertThat(answer).isDone();
      ErrorKind kind = kind(answer);
      if (kind == null) {
        assertThat(versions).containsEntry(plan.id(), answer.join().version());
      } else if (kind == ErrorKind.PLAN_CONFLICT) {
        assertThat(versions).doesNotContainKey(plan.id());
      } else {
        assertThat(kind).isIn(ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_OUTCOME_UNKNOWN);
      }
    }
  }
}
