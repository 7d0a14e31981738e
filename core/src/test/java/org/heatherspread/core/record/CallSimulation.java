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
 * Simulates an owner, a witness, a daemon that holds sealed records, and callers that repeat calls
 * at any daemon. The random schedule contains loss, delay, reordering, duplication, crashes with
 * loss of memory, clock steps and handover. Every execution is counted.
 */
final class CallSimulation {
  /** Deliberate protocol faults, which the check must detect. */
  enum Mutation {
    NONE,
    DISPATCH_WITHOUT_ACKNOWLEDGEMENT,
    RESTART_WITH_SAME_INCARNATION,
    HAND_OVER_WITHOUT_SEAL
  }

  private static final RecordLimits LIMITS =
      RecordLimits.defaults().withCapacity(40).withRetention(Duration.ofSeconds(20));
  private static final int CALLS = 6;
  private static final long CALL_LIFETIME_MILLIS = 30_000;

  private final Random random;
  private final Mutation mutation;
  private final List<Runnable> messages = new ArrayList<>();
  private final List<CallDescriptor> calls = new ArrayList<>();
  private final SkewedClock ownerClock = new SkewedClock();
  private final SkewedClock witnessClock = new SkewedClock();
  private final SealedArchive archive = SealedArchive.create(new SkewedClock(), LIMITS);
  private OwnerTable owner;
  private WitnessTable witness;
  private DaemonRef ownerRef = new DaemonRef("owner", 1);
  private DaemonRef witnessRef = new DaemonRef("witness", 1);

  final Map<RequestId, Integer> runs = new HashMap<>();
  final Set<RequestId> reportedNotRun = new HashSet<>();
  final List<String> wrongResponses = new ArrayList<>();
  final Map<CallState, Integer> reportedStates = new HashMap<>();

  CallSimulation(long seed, Mutation mutation) {
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

  /** Runs random events and then delivers all remaining messages. */
  void run(int steps) {
    for (int i = 0; i < steps; i++) {
      step();
    }
    while (!messages.isEmpty()) {
      messages.remove(random.nextInt(messages.size())).run();
    }
  }

  private void step() {
    int roll = random.nextInt(100);
    if (roll < 12) {
      submitToOwner();
    } else if (roll < 24) {
      askOtherDaemon();
    } else if (roll < 84) {
      deliver();
    } else if (roll < 90) {
      closeUndispatched();
    } else if (roll < 92) {
      restartOwner();
    } else if (roll < 94) {
      restartWitness();
    } else if (roll < 95) {
      handOver();
    } else {
      adjustClocks();
    }
  }

  private CallDescriptor anyCall() {
    if (calls.size() < CALLS) {
      long expiry = 1_000_000 + CALL_LIFETIME_MILLIS;
      RequestId id = RequestId.create(ownerRef, witnessRef, random);
      calls.add(new CallDescriptor(id, "account", "digest-" + calls.size(), expiry));
    }
    return calls.get(random.nextInt(calls.size()));
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

  private void submitToOwner() {
    CallDescriptor call = anyCall();
    AdmissionResult result = owner.begin(call);
    if (result == AdmissionResult.KNOWN) {
      report(call, owner.resolve(call));
      return;
    }
    if (result != AdmissionResult.ADMITTED) {
      return;
    }
    if (mutation == Mutation.DISPATCH_WITHOUT_ACKNOWLEDGEMENT) {
      dispatchOnce(call);
    }
    send(() -> onDispatchNotice(call));
  }

  private void onDispatchNotice(CallDescriptor call) {
    AdmissionResult result = witness.acknowledgeDispatch(call);
    send(() -> onWitnessReply(call, result));
  }

  private void onWitnessReply(CallDescriptor call, AdmissionResult result) {
    if (result == AdmissionResult.ADMITTED) {
      dispatchOnce(call);
      return;
    }
    closeBeforeDispatch(call);
  }

  private void dispatchOnce(CallDescriptor call) {
    if (!owner.tryAcquireDispatch(call.id())) {
      return;
    }
    runs.merge(call.id(), 1, Integer::sum);
    OwnerTable dispatchingOwner = owner;
    boolean answered = random.nextInt(3) != 0;
    CallOutcome outcome = answered ? responseOf(call) : CallOutcome.unknown();
    send(() -> onEndpointResponse(dispatchingOwner, call, outcome));
  }

  private void onEndpointResponse(
      OwnerTable dispatchingOwner, CallDescriptor call, CallOutcome outcome) {
    if (dispatchingOwner == owner && owner.finish(call.id(), outcome)) {
      report(call, outcome);
      send(() -> witness.recordOutcome(call, outcome));
      send(() -> archive.recordOutcome(call, outcome));
    }
  }

  private void closeUndispatched() {
    for (RequestId id : owner.inProgress()) {
      calls.stream().filter(d -> d.id().equals(id)).forEach(this::closeBeforeDispatch);
    }
  }

  private void closeBeforeDispatch(CallDescriptor call) {
    if (owner.closeBeforeDispatch(call.id())) {
      report(call, CallOutcome.notRun());
      send(() -> witness.recordOutcome(call, CallOutcome.notRun()));
    }
  }

  private void askOtherDaemon() {
    CallDescriptor call = anyCall();
    if (random.nextBoolean()) {
      send(() -> report(call, owner.resolve(call)));
    } else {
      send(() -> askWitness(call));
    }
  }

  private void askWitness(CallDescriptor call) {
    CallOutcome outcome = witness.resolve(call);
    if (outcome.state() == CallState.NOT_HELD) {
      outcome = archive.resolve(call);
    }
    report(call, outcome);
  }

  private void report(CallDescriptor call, CallOutcome outcome) {
    reportedStates.merge(outcome.state(), 1, Integer::sum);
    if (outcome.state() == CallState.NOT_RUN) {
      reportedNotRun.add(call.id());
    }
    if (outcome.state() == CallState.ANSWERED && !outcome.equals(responseOf(call))) {
      wrongResponses.add(call + " got " + outcome);
    }
  }

  private static CallOutcome responseOf(CallDescriptor call) {
    byte[] body = call.id().toString().getBytes(StandardCharsets.UTF_8);
    return CallOutcome.answered(new CallResponse(200, List.of(), body));
  }

  private void restartOwner() {
    ownerRef = afterRestart(ownerRef);
    owner = OwnerTable.create(ownerRef, ownerClock, LIMITS);
  }

  private void restartWitness() {
    witnessRef = afterRestart(witnessRef);
    witness = WitnessTable.create(witnessRef, witnessClock, LIMITS);
  }

  private DaemonRef afterRestart(DaemonRef daemon) {
    return mutation == Mutation.RESTART_WITH_SAME_INCARNATION
        ? daemon
        : new DaemonRef(daemon.id(), daemon.incarnation() + 1);
  }

  private void handOver() {
    if (mutation == Mutation.HAND_OVER_WITHOUT_SEAL) {
      archive.accept(
          new SealedSet(witnessRef, witnessClock.millis(), List.of()), Duration.ofHours(1));
      CallDescriptor call = anyCall();
      report(call, archive.resolve(call));
      return;
    }
    witness.seal();
    SealedSet set = witness.snapshot();
    send(() -> archive.accept(set, Duration.ofHours(1)));
  }

  private void adjustClocks() {
    ownerClock.millis += random.nextInt(-4_000, 9_000);
    witnessClock.millis += random.nextInt(-4_000, 9_000);
  }
}
