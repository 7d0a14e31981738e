package org.heatherspread.core.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.retry.RetryBudget;
import org.heatherspread.core.retry.RetryBudgetSettings;
import org.heatherspread.core.retry.RetryReason;
import org.heatherspread.core.time.ManualClock;

/**
 * Runs the state machine of one request against simulated engines. The network loses, delays,
 * duplicates, reorders and misroutes messages; engines crash, restart and receive reclaim notices;
 * the daemon pauses. Deterministic for a given seed.
 */
final class RequestSimulation {
  static final int RESPONSE_TOKENS = 12;
  private static final long TICK_MICROS = 100_000;
  private static final long DEADLINE_MICROS = 60_000_000;
  private static final long DRAIN_MICROS = 20_000_000;

  final List<String> violations = new ArrayList<>();
  final List<SimulatedEngine> engines = new ArrayList<>();
  RequestOutcome outcome;
  long delivered;
  boolean endMarkerSeen;
  private final Random random;
  private final Faults faults;
  private final ManualClock clock = ManualClock.create();
  private final RequestStateMachine stateMachine;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::order));
  private long nowMicros;
  private long order;
  private int lastConnection;
  private int openConnection = -1;
  private boolean finishHeld;

  /** Probability of each fault in one run, from 0 to 0.3. */
  record Faults(
      double loss,
      double duplicate,
      double misroute,
      double disconnect,
      double refuse,
      double crash) {
    static Faults create(Random random) {
      return new Faults(
          rate(random), rate(random), rate(random), rate(random), rate(random), rate(random));
    }

    private static double rate(Random random) {
      return random.nextBoolean() ? 0 : random.nextDouble() * 0.3;
    }
  }

  private record Event(long atMicros, long order, Runnable action) {}

  RequestSimulation(long seed) {
    random = new Random(seed);
    faults = Faults.create(random);
    int count = 1 + random.nextInt(4);
    for (int i = 0; i < count; i++) {
      engines.add(new SimulatedEngine("e" + i));
    }
    stateMachine =
        RequestStateMachine.create(
            RequestPolicy.defaults(),
            RequestStart.accepted(100, Duration.ofNanos(DEADLINE_MICROS * 1_000).toNanos()),
            RetryBudget.create(RetryBudgetSettings.defaults(), clock),
            clock,
            random);
  }

  void run() {
    scheduleFaults();
    schedule(0, this::tick);
    perform(stateMachine.begin());
    long endMicros = DEADLINE_MICROS + 20_000_000;
    while (!events.isEmpty() && nowMicros < endMicros) {
      Event event = events.poll();
      clock.advance(Duration.ofNanos((Math.max(nowMicros, event.atMicros()) - nowMicros) * 1_000));
      nowMicros = Math.max(nowMicros, event.atMicros());
      event.action().run();
      if (outcome != null && endMicros > nowMicros + DRAIN_MICROS) {
        endMicros = nowMicros + DRAIN_MICROS;
      }
    }
  }

  boolean hasRun() {
    return engines.stream().anyMatch(e -> !e.attemptsRun.isEmpty());
  }

  private void schedule(long delay, Runnable action) {
    events.add(new Event(nowMicros + delay, order++, action));
  }

  private long delay() {
    return 200 + random.nextInt(random.nextInt(10) == 0 ? 400_000 : 5_000);
  }

  private boolean chance(double rate) {
    return random.nextDouble() < rate;
  }

  private void tick() {
    boolean daemonPauses = chance(0.01);
    perform(stateMachine.tick());
    schedule(daemonPauses ? 5_000_000 : TICK_MICROS, this::tick);
  }

  private void scheduleFaults() {
    for (SimulatedEngine engine : engines) {
      if (chance(faults.crash())) {
        schedule(random.nextInt(3_000_000), engine::crash);
        schedule(3_000_000 + random.nextInt(5_000_000), engine::restart);
      }
      if (chance(faults.crash())) {
        int notice = random.nextInt(5_000_000);
        schedule(random.nextInt(2_000_000), () -> giveNotice(engine, notice));
      }
    }
    if (chance(0.1)) {
      schedule(random.nextInt(3_000_000), () -> perform(stateMachine.cancel()));
    }
  }

  private void giveNotice(SimulatedEngine engine, long micros) {
    engine.leaving = true;
    long endsAt = clock.nanos() + micros * 1_000;
    perform(stateMachine.onEndpointLeaving(engine.id, clock.nanos(), endsAt));
    schedule(micros, engine::crash);
  }

  private SimulatedEngine engine(String id) {
    return engines.stream().filter(e -> e.id.equals(id)).findFirst().orElseThrow();
  }

  private void perform(List<RequestAction> actions) {
    for (RequestAction action : actions) {
      if (outcome != null) {
        violations.add("action after the end: " + action);
      }
      if (action instanceof RequestAction.Select a) {
        select(a);
      } else if (action instanceof RequestAction.Start a) {
        start(a);
      } else if (action instanceof RequestAction.Resume a) {
        resume(a);
      } else if (action instanceof RequestAction.Export a) {
        export(a);
      } else if (action instanceof RequestAction.Import a) {
        importKv(a);
      } else if (action instanceof RequestAction.Disconnect) {
        openConnection = -1;
      } else if (action instanceof RequestAction.Cancel a) {
        schedule(delay(), () -> engine(a.endpoint()).cancel(a.attempt()));
      } else if (action instanceof RequestAction.Finish a) {
        outcome = a.outcome();
      }
    }
  }

  private void select(RequestAction.Select a) {
    List<SimulatedEngine> candidates = new ArrayList<>();
    for (SimulatedEngine engine : engines) {
      boolean assumedAlive = engine.alive || chance(0.3);
      if (assumedAlive && !engine.leaving && !a.excluded().contains(engine.id)) {
        candidates.add(engine);
      }
    }
    if (candidates.isEmpty()) {
      perform(stateMachine.onNoEndpoint(a.step(), ErrorKind.NO_ENDPOINT, "none", Optional.empty()));
    } else {
      perform(
          stateMachine.onSelected(a.step(), candidates.get(random.nextInt(candidates.size())).id));
    }
  }

  private void start(RequestAction.Start a) {
    if (a.offset() != delivered) {
      violations.add("start at offset " + a.offset() + " after " + delivered + " delivered");
    }
    if (chance(faults.loss())) {
      return;
    }
    schedule(delay(), () -> onStartArrived(a));
  }

  private void onStartArrived(RequestAction.Start a) {
    SimulatedEngine engine = engine(a.endpoint());
    if (!engine.alive) {
      schedule(delay(), () -> perform(stateMachine.onFailed(a.step(), RetryReason.UNREACHABLE)));
    } else if (chance(faults.refuse())) {
      schedule(delay(), () -> perform(stateMachine.onFailed(a.step(), RetryReason.REFUSED)));
    } else {
      engine.run(a.attempt(), a.offset());
      openStream(engine, a.step(), a.attempt(), a.offset());
    }
  }

  private void resume(RequestAction.Resume a) {
    if (chance(faults.loss())) {
      return;
    }
    schedule(
        delay(),
        () -> {
          SimulatedEngine engine = engine(a.endpoint());
          if (!engine.alive) {
            schedule(
                delay(), () -> perform(stateMachine.onFailed(a.step(), RetryReason.UNREACHABLE)));
          } else if (!engine.holdsStream(a.attempt())) {
            schedule(delay(), () -> perform(stateMachine.onFailed(a.step(), RetryReason.NOT_HELD)));
          } else {
            openStream(engine, a.step(), a.attempt(), a.offset());
          }
        });
  }

  private void export(RequestAction.Export a) {
    schedule(
        delay(),
        () -> {
          SimulatedEngine source = engine(a.endpoint());
          if (!source.alive || chance(faults.loss())) {
            return;
          }
          String kv = source.export();
          schedule(delay(), () -> perform(stateMachine.onExported(a.step(), kv)));
        });
  }

  private void importKv(RequestAction.Import a) {
    schedule(
        delay(),
        () -> {
          boolean found = engine(a.source()).hasCache(a.kvId()) && engine(a.endpoint()).alive;
          schedule(
              delay(),
              () ->
                  perform(
                      found
                          ? stateMachine.onImported(a.step(), "imported")
                          : stateMachine.onFailed(a.step(), RetryReason.ENDPOINT_ERROR)));
        });
  }

  private void openStream(SimulatedEngine engine, int step, int attempt, long offset) {
    if (chance(faults.loss())) {
      return;
    }
    int connectionId = ++lastConnection;
    schedule(
        delay(),
        () -> {
          if (!stateMachine.isAwaitingStart(step)) {
            return;
          }
          openConnection = connectionId;
          finishHeld = false;
          perform(stateMachine.onStarted(step));
          sendFrom(engine, connectionId, step, attempt, offset + 1);
        });
  }

  private void sendFrom(
      SimulatedEngine engine, int connectionId, int step, int attempt, long next) {
    if (!engine.alive || chance(faults.disconnect())) {
      boolean silent = random.nextInt(3) == 0;
      if (!silent) {
        schedule(delay(), () -> perform(stateMachine.onFailed(step, RetryReason.CONNECTION_LOST)));
      }
      return;
    }
    if (!engine.holdsStream(attempt)) {
      return;
    }
    if (next > RESPONSE_TOKENS) {
      sendFrame(connectionId, true, attempt, RESPONSE_TOKENS, FrameKind.FINISH);
      sendFrame(connectionId, true, attempt, RESPONSE_TOKENS, FrameKind.USAGE);
      sendFrame(connectionId, true, attempt, RESPONSE_TOKENS, FrameKind.END);
      schedule(delay(), () -> perform(stateMachine.onFailed(step, RetryReason.CONNECTION_LOST)));
      return;
    }
    sendFrame(connectionId, true, attempt, next, FrameKind.TOKEN);
    schedule(5_000 + delay(), () -> sendFrom(engine, connectionId, step, attempt, next + 1));
  }

  private void sendFrame(
      int connectionId, boolean sameRequest, int attempt, long offset, FrameKind kind) {
    if (chance(faults.misroute())) {
      schedule(delay(), () -> onFrame(connectionId, false, attempt, offset, kind));
      schedule(delay(), () -> onFrame(connectionId, true, attempt + 1, offset, kind));
      schedule(delay(), () -> onFrame(connectionId, true, attempt, offset + 3, kind));
    }
    if (chance(faults.loss())) {
      return;
    }
    schedule(300, () -> onFrame(connectionId, sameRequest, attempt, offset, kind));
    if (chance(faults.duplicate())) {
      schedule(delay(), () -> onFrame(connectionId, sameRequest, attempt, offset, kind));
    }
  }

  private void onFrame(
      int connectionId, boolean sameRequest, int attempt, long offset, FrameKind kind) {
    if (connectionId == openConnection) {
      stateMachine.onBytes();
    }
    FrameDisposition disposition = stateMachine.onFrame(sameRequest, attempt, offset, kind);
    if (disposition == FrameDisposition.DELIVER) {
      checkDelivery(sameRequest, attempt, offset);
      delivered = offset;
    } else if (disposition == FrameDisposition.HOLD) {
      finishHeld = true;
    } else if (disposition == FrameDisposition.COMPLETE) {
      endMarkerSeen = true;
      if (!sameRequest || !finishHeld || offset != RESPONSE_TOKENS) {
        violations.add("complete at offset " + offset + ", finish held: " + finishHeld);
      }
    }
    perform(stateMachine.applyDisposition(disposition));
  }

  private void checkDelivery(boolean sameRequest, int attempt, long offset) {
    if (!sameRequest) {
      violations.add("a frame of another request was delivered");
    }
    if (offset != delivered + 1) {
      violations.add("offset " + offset + " delivered after " + delivered);
    }
    if (attempt != stateMachine.attempt()) {
      violations.add(
          "a frame of attempt " + attempt + " delivered in attempt " + stateMachine.attempt());
    }
    if (outcome != null || endMarkerSeen) {
      violations.add("a frame was delivered after the end");
    }
  }
}
