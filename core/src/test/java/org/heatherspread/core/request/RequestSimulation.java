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
 * Drives one request's state machine before simulated engines over a network that loses, delays,
 * repeats, reorders and crosses messages, while engines crash, restart, get notices, and the daemon
 * pauses. Everything follows from the seed.
 */
final class RequestSimulation {
  static final int LENGTH = 12;
  private static final long TICK_MICROS = 100_000;
  private static final long DEADLINE_MICROS = 60_000_000;
  private static final long AFTERMATH_MICROS = 20_000_000;

  final List<String> violations = new ArrayList<>();
  final List<SimulatedEngine> engines = new ArrayList<>();
  RequestEnd end;
  long delivered;
  boolean marked;
  private final Random random;
  private final Faults faults;
  private final ManualClock clock = ManualClock.create();
  private final RequestMachine machine;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private long now;
  private long order;
  private int connection;
  private int openConnection = -1;
  private boolean held;

  /** Rates of each fault for one run, from none to frequent. */
  record Faults(
      double lose, double repeat, double cross, double breakLink, double refuse, double crash) {
    static Faults draw(Random random) {
      return new Faults(
          rate(random), rate(random), rate(random), rate(random), rate(random), rate(random));
    }

    private static double rate(Random random) {
      return random.nextBoolean() ? 0 : random.nextDouble() * 0.3;
    }
  }

  private record Event(long at, long order, Runnable action) {}

  RequestSimulation(long seed) {
    random = new Random(seed);
    faults = Faults.draw(random);
    int count = 1 + random.nextInt(4);
    for (int i = 0; i < count; i++) {
      engines.add(new SimulatedEngine("e" + i));
    }
    machine =
        RequestMachine.create(
            RequestPolicy.defaults(),
            RequestStart.accepted(100, Duration.ofNanos(DEADLINE_MICROS * 1_000).toNanos()),
            RetryBudget.create(RetryBudgetSettings.defaults(), clock),
            clock,
            random);
  }

  void run() {
    scheduleDisasters();
    at(0, this::tick);
    perform(machine.begin());
    long limit = DEADLINE_MICROS + 20_000_000;
    while (!events.isEmpty() && now < limit) {
      Event event = events.poll();
      clock.advance(Duration.ofNanos((Math.max(now, event.at()) - now) * 1_000));
      now = Math.max(now, event.at());
      event.action().run();
      if (end != null && limit > now + AFTERMATH_MICROS) {
        limit = now + AFTERMATH_MICROS;
      }
    }
  }

  boolean everRan() {
    return engines.stream().anyMatch(e -> !e.ran.isEmpty());
  }

  // ---- world ----

  private void at(long delay, Runnable action) {
    events.add(new Event(now + delay, order++, action));
  }

  private long delay() {
    return 200 + random.nextInt(random.nextInt(10) == 0 ? 400_000 : 5_000);
  }

  private boolean chance(double rate) {
    return random.nextDouble() < rate;
  }

  private void tick() {
    boolean daemonPauses = chance(0.01);
    perform(machine.tick());
    at(daemonPauses ? 5_000_000 : TICK_MICROS, this::tick);
  }

  private void scheduleDisasters() {
    for (SimulatedEngine engine : engines) {
      if (chance(faults.crash())) {
        at(random.nextInt(3_000_000), engine::crash);
        at(3_000_000 + random.nextInt(5_000_000), engine::restart);
      }
      if (chance(faults.crash())) {
        int notice = random.nextInt(5_000_000);
        at(random.nextInt(2_000_000), () -> notice(engine, notice));
      }
    }
    if (chance(0.1)) {
      at(random.nextInt(3_000_000), () -> perform(machine.cancel()));
    }
  }

  private void notice(SimulatedEngine engine, long micros) {
    engine.leaving = true;
    long endsAt = clock.nanos() + micros * 1_000;
    perform(machine.endpointLeaving(engine.id, clock.nanos(), endsAt));
    at(micros, engine::crash);
  }

  private SimulatedEngine engine(String id) {
    return engines.stream().filter(e -> e.id.equals(id)).findFirst().orElseThrow();
  }

  // ---- actions ----

  private void perform(List<RequestAction> actions) {
    for (RequestAction action : actions) {
      if (end != null) {
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
        at(delay(), () -> engine(a.endpoint()).free(a.attempt()));
      } else if (action instanceof RequestAction.Finish a) {
        end = a.end();
      }
    }
  }

  private void select(RequestAction.Select a) {
    List<SimulatedEngine> able = new ArrayList<>();
    for (SimulatedEngine engine : engines) {
      boolean believedAlive = engine.alive || chance(0.3);
      if (believedAlive && !engine.leaving && !a.excluded().contains(engine.id)) {
        able.add(engine);
      }
    }
    if (able.isEmpty()) {
      perform(machine.noEndpoint(a.step(), ErrorKind.NO_ENDPOINT, "none", Optional.empty()));
    } else {
      perform(machine.selected(a.step(), able.get(random.nextInt(able.size())).id));
    }
  }

  private void start(RequestAction.Start a) {
    if (a.offset() != delivered) {
      violations.add("start at offset " + a.offset() + " after " + delivered + " delivered");
    }
    if (chance(faults.lose())) {
      return;
    }
    at(delay(), () -> arrive(a));
  }

  private void arrive(RequestAction.Start a) {
    SimulatedEngine engine = engine(a.endpoint());
    if (!engine.alive) {
      at(delay(), () -> perform(machine.failed(a.step(), RetryReason.UNREACHABLE)));
    } else if (chance(faults.refuse())) {
      at(delay(), () -> perform(machine.failed(a.step(), RetryReason.REFUSED)));
    } else {
      engine.run(a.attempt(), a.offset());
      reply(engine, a.step(), a.attempt(), a.offset());
    }
  }

  private void resume(RequestAction.Resume a) {
    if (chance(faults.lose())) {
      return;
    }
    at(
        delay(),
        () -> {
          SimulatedEngine engine = engine(a.endpoint());
          if (!engine.alive) {
            at(delay(), () -> perform(machine.failed(a.step(), RetryReason.UNREACHABLE)));
          } else if (!engine.holds(a.attempt())) {
            at(delay(), () -> perform(machine.failed(a.step(), RetryReason.NOT_HELD)));
          } else {
            reply(engine, a.step(), a.attempt(), a.offset());
          }
        });
  }

  private void export(RequestAction.Export a) {
    at(
        delay(),
        () -> {
          SimulatedEngine source = engine(a.endpoint());
          if (!source.alive || chance(faults.lose())) {
            return;
          }
          String kv = source.export();
          at(delay(), () -> perform(machine.exported(a.step(), kv)));
        });
  }

  private void importKv(RequestAction.Import a) {
    at(
        delay(),
        () -> {
          boolean found = engine(a.source()).cached(a.kvId()) && engine(a.endpoint()).alive;
          at(
              delay(),
              () ->
                  perform(
                      found
                          ? machine.imported(a.step(), "imported")
                          : machine.failed(a.step(), RetryReason.ENDPOINT_ERROR)));
        });
  }

  // ---- streams ----

  private void reply(SimulatedEngine engine, int step, int attempt, long offset) {
    if (chance(faults.lose())) {
      return;
    }
    int link = ++connection;
    at(
        delay(),
        () -> {
          if (!machine.awaits(step)) {
            return;
          }
          openConnection = link;
          held = false;
          perform(machine.started(step));
          send(engine, link, step, attempt, offset + 1);
        });
  }

  private void send(SimulatedEngine engine, int link, int step, int attempt, long next) {
    if (!engine.alive || chance(faults.breakLink())) {
      boolean silent = random.nextInt(3) == 0;
      if (!silent) {
        at(delay(), () -> perform(machine.failed(step, RetryReason.CONNECTION_LOST)));
      }
      return;
    }
    if (!engine.holds(attempt)) {
      return;
    }
    if (next > LENGTH) {
      frame(link, true, attempt, LENGTH, FrameKind.FINISH);
      frame(link, true, attempt, LENGTH, FrameKind.USAGE);
      frame(link, true, attempt, LENGTH, FrameKind.END);
      at(delay(), () -> perform(machine.failed(step, RetryReason.CONNECTION_LOST)));
      return;
    }
    frame(link, true, attempt, next, FrameKind.TOKEN);
    at(5_000 + delay(), () -> send(engine, link, step, attempt, next + 1));
  }

  private void frame(int link, boolean same, int attempt, long offset, FrameKind kind) {
    if (chance(faults.cross())) {
      at(delay(), () -> receive(link, false, attempt, offset, kind));
      at(delay(), () -> receive(link, true, attempt + 1, offset, kind));
      at(delay(), () -> receive(link, true, attempt, offset + 3, kind));
    }
    if (chance(faults.lose())) {
      return;
    }
    at(300, () -> receive(link, same, attempt, offset, kind));
    if (chance(faults.repeat())) {
      at(delay(), () -> receive(link, same, attempt, offset, kind));
    }
  }

  private void receive(int link, boolean same, int attempt, long offset, FrameKind kind) {
    if (link == openConnection) {
      machine.onBytes();
    }
    FrameVerdict verdict = machine.onFrame(same, attempt, offset, kind);
    if (verdict == FrameVerdict.DELIVER) {
      check(same, attempt, offset);
      delivered = offset;
    } else if (verdict == FrameVerdict.HOLD) {
      held = true;
    } else if (verdict == FrameVerdict.COMPLETE) {
      marked = true;
      if (!same || !held || offset != LENGTH) {
        violations.add("complete at offset " + offset + ", end held: " + held);
      }
    }
    perform(machine.settle(verdict));
  }

  private void check(boolean same, int attempt, long offset) {
    if (!same) {
      violations.add("a frame of another request was delivered");
    }
    if (offset != delivered + 1) {
      violations.add("offset " + offset + " delivered after " + delivered);
    }
    if (attempt != machine.attempt()) {
      violations.add("a frame of attempt " + attempt + " delivered in " + machine.attempt());
    }
    if (end != null || marked) {
      violations.add("a frame was delivered after the end");
    }
  }
}
