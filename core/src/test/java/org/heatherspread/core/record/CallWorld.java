package org.heatherspread.core.record;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * One owner, one witness, a daemon that holds sealed records, and callers that send calls again at
 * any daemon, under a random schedule of loss, delay, reordering, duplication, crash with loss of
 * memory, clock steps and hand-over. A ledger keeps what truly ran.
 */
final class CallWorld {
  /** Faults put into the protocol on purpose, to show that the check finds them. */
  enum Mutation {
    NONE,
    DISPATCH_WITHOUT_ACKNOWLEDGEMENT,
    RESTART_WITH_SAME_INCARNATION,
    HAND_OVER_WITHOUT_SEAL
  }

  private static final RecordLimits LIMITS =
      RecordLimits.defaults().withCapacity(40).withRetention(Duration.ofSeconds(20));
  private static final int CALLS = 6;
  private static final long LIFE_MILLIS = 30_000;

  private final Random random;
  private final Mutation mutation;
  private final List<Runnable> messages = new ArrayList<>();
  private final List<CallDraft> drafts = new ArrayList<>();
  private final SkewedClock ownerClock = new SkewedClock();
  private final SkewedClock witnessClock = new SkewedClock();
  private final SealedArchive archive = SealedArchive.create(new SkewedClock(), LIMITS);
  private OwnerTable owner;
  private WitnessTable witness;
  private DaemonRef ownerRef = new DaemonRef("owner", 1);
  private DaemonRef witnessRef = new DaemonRef("witness", 1);

  // ---- Ledger ----
  final Map<RequestId, Integer> runs = new HashMap<>();
  final Set<RequestId> toldNotRun = new HashSet<>();
  final List<String> wrongAnswers = new ArrayList<>();
  final Map<CallState, Integer> told = new HashMap<>();

  CallWorld(long seed, Mutation mutation) {
    this.random = new Random(seed);
    this.mutation = mutation;
    owner = OwnerTable.create(ownerRef, ownerClock, LIMITS);
    witness = WitnessTable.create(witnessRef, witnessClock, LIMITS);
  }

  private static final class SkewedClock implements InstantSource {
    private long millis = 1_000_000;

    @Override
    public Instant instant() {
      return Instant.ofEpochMilli(millis);
    }
  }

  /** Plays random events, then delivers what is left, so that every late message has arrived. */
  void play(int steps) {
    for (int i = 0; i < steps; i++) {
      step();
    }
    while (!messages.isEmpty()) {
      messages.remove(random.nextInt(messages.size())).run();
    }
  }

  private void step() {
    int dice = random.nextInt(100);
    if (dice < 12) {
      callAtOwner();
    } else if (dice < 24) {
      askElsewhere();
    } else if (dice < 84) {
      deliver();
    } else if (dice < 90) {
      ownerTimesOut();
    } else if (dice < 92) {
      restartOwner();
    } else if (dice < 94) {
      restartWitness();
    } else if (dice < 95) {
      handOver();
    } else {
      moveClocks();
    }
  }

  private CallDraft anyDraft() {
    if (drafts.size() < CALLS) {
      long expiry = 1_000_000 + LIFE_MILLIS;
      RequestId id = RequestId.create(ownerRef, witnessRef, random);
      drafts.add(new CallDraft(id, "account", "digest-" + drafts.size(), expiry));
    }
    return drafts.get(random.nextInt(drafts.size()));
  }

  private void send(Runnable message) {
    messages.add(message);
    if (random.nextInt(5) == 0) {
      messages.add(message);
    }
  }

  private void deliver() {
    if (messages.isEmpty()) {
      return;
    }
    Runnable message = messages.remove(random.nextInt(messages.size()));
    if (random.nextInt(6) != 0) {
      message.run();
    }
  }

  // ---- Owner ----

  private void callAtOwner() {
    CallDraft draft = anyDraft();
    Admittance answer = owner.begin(draft);
    if (answer == Admittance.KNOWN) {
      tell(draft, owner.resolve(draft));
      return;
    }
    if (answer != Admittance.ADMITTED) {
      return;
    }
    if (mutation == Mutation.DISPATCH_WITHOUT_ACKNOWLEDGEMENT) {
      acknowledged(draft);
    }
    send(() -> witnessHears(draft));
  }

  private void witnessHears(CallDraft draft) {
    Admittance answer = witness.dispatching(draft);
    send(() -> ownerHears(draft, answer));
  }

  private void ownerHears(CallDraft draft, Admittance answer) {
    if (answer == Admittance.ADMITTED) {
      acknowledged(draft);
      return;
    }
    closeBeforeDispatch(draft);
  }

  private void acknowledged(CallDraft draft) {
    if (!owner.mayDispatch(draft.id())) {
      return;
    }
    runs.merge(draft.id(), 1, Integer::sum);
    OwnerTable runner = owner;
    boolean answered = random.nextInt(3) != 0;
    CallOutcome outcome = answered ? answerOf(draft) : CallOutcome.unknown();
    send(() -> endpointAnswers(runner, draft, outcome));
  }

  private void endpointAnswers(OwnerTable runner, CallDraft draft, CallOutcome outcome) {
    if (runner == owner && owner.finish(draft.id(), outcome)) {
      tell(draft, outcome);
      send(() -> witness.outcome(draft, outcome));
      send(() -> archive.outcome(draft, outcome));
    }
  }

  private void ownerTimesOut() {
    for (RequestId id : owner.inProgress()) {
      drafts.stream().filter(d -> d.id().equals(id)).forEach(this::closeBeforeDispatch);
    }
  }

  private void closeBeforeDispatch(CallDraft draft) {
    if (owner.closeBeforeDispatch(draft.id())) {
      tell(draft, CallOutcome.notRun());
      send(() -> witness.outcome(draft, CallOutcome.notRun()));
    }
  }

  // ---- Callers that ask another daemon ----

  private void askElsewhere() {
    CallDraft draft = anyDraft();
    if (random.nextBoolean()) {
      send(() -> tell(draft, owner.resolve(draft)));
    } else {
      send(() -> askWitness(draft));
    }
  }

  private void askWitness(CallDraft draft) {
    CallOutcome outcome = witness.close(draft);
    if (outcome.state() == CallState.NOT_HELD) {
      outcome = archive.resolve(draft);
    }
    tell(draft, outcome);
  }

  private void tell(CallDraft draft, CallOutcome outcome) {
    told.merge(outcome.state(), 1, Integer::sum);
    if (outcome.state() == CallState.NOT_RUN) {
      toldNotRun.add(draft.id());
    }
    if (outcome.state() == CallState.ANSWERED && !outcome.equals(answerOf(draft))) {
      wrongAnswers.add(draft + " got " + outcome);
    }
  }

  private static CallOutcome answerOf(CallDraft draft) {
    byte[] body = draft.id().toString().getBytes(StandardCharsets.UTF_8);
    return CallOutcome.answered(new CallAnswer(200, List.of(), body));
  }

  // ---- Faults ----

  private void restartOwner() {
    ownerRef = restarted(ownerRef);
    owner = OwnerTable.create(ownerRef, ownerClock, LIMITS);
  }

  private void restartWitness() {
    witnessRef = restarted(witnessRef);
    witness = WitnessTable.create(witnessRef, witnessClock, LIMITS);
  }

  private DaemonRef restarted(DaemonRef daemon) {
    return mutation == Mutation.RESTART_WITH_SAME_INCARNATION
        ? daemon
        : new DaemonRef(daemon.id(), daemon.incarnation() + 1);
  }

  private void handOver() {
    if (mutation == Mutation.HAND_OVER_WITHOUT_SEAL) {
      archive.accept(
          new SealedSet(witnessRef, witnessClock.millis(), List.of()), Duration.ofHours(1));
      CallDraft draft = anyDraft();
      tell(draft, archive.resolve(draft));
      return;
    }
    witness.seal();
    SealedSet set = witness.snapshot();
    send(() -> archive.accept(set, Duration.ofHours(1)));
  }

  private void moveClocks() {
    ownerClock.millis += random.nextInt(-4_000, 9_000);
    witnessClock.millis += random.nextInt(-4_000, 9_000);
  }
}
