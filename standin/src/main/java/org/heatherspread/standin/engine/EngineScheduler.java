package org.heatherspread.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.util.ByteString;
import org.heatherspread.core.routing.PrefixHashes;
import org.heatherspread.standin.Ledger;
import org.heatherspread.standin.answer.EngineAnswers;

/**
 * The batching loop of the engine: admits waiting requests by priority and arrival, shares each
 * step between the next token of the running requests and the prompts of new ones, and buffers the
 * events of each stream.
 *
 * <p>All state is confined to one thread; other threads hand in work by {@link #call}.
 */
final class EngineScheduler implements AutoCloseable {
  private static final int CRASH_STATUS = 134;
  private static final long HEARTBEAT_MILLIS = 1_000;
  private static final long UPKEEP_MILLIS = 100;
  private static final long ORPHAN_MILLIS = 30_000;
  private static final long KEPT_MILLIS = 60_000;
  private static final Comparator<EngineRun> ADMISSION =
      Comparator.<EngineRun>comparingLong(r -> -r.call.priority())
          .thenComparingLong(r -> r.arrival);

  private final EngineSettings settings;
  private final Ledger ledger;
  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "engine-steps"));
  private final SplittableRandom random;
  private final KvStore kvs = new KvStore();
  private final CacheEvents events;
  private final PrefixCache cache;
  private final Map<String, EngineRun> runs = new LinkedHashMap<>();
  private final List<EngineRun> waiting = new ArrayList<>();
  private final List<EngineRun> running = new ArrayList<>();
  private EngineFaults faults = EngineFaults.none();
  private EngineLoad report;
  private long arrivals;

  private EngineScheduler(EngineSettings settings, Ledger ledger) {
    this.settings = settings;
    this.ledger = ledger;
    this.random = new SplittableRandom(settings.seed());
    this.events = new CacheEvents(settings.eventDelayMillis(), settings.eventGap(), random.split());
    this.cache = new PrefixCache(settings.cacheBlocks(), events);
    this.report = load();
  }

  static EngineScheduler start(EngineSettings settings, Ledger ledger) {
    EngineScheduler scheduler = new EngineScheduler(settings, ledger);
    scheduler.thread.execute(scheduler::step);
    scheduler.thread.scheduleAtFixedRate(
        scheduler::upkeep, UPKEEP_MILLIS, UPKEEP_MILLIS, TimeUnit.MILLISECONDS);
    scheduler.thread.scheduleAtFixedRate(
        scheduler::takeReport, 0, settings.metricsLagMillis(), TimeUnit.MILLISECONDS);
    return scheduler;
  }

  /** Runs a task in the scheduler's thread. */
  <T> CompletableFuture<T> call(Supplier<T> task) {
    return CompletableFuture.supplyAsync(task, thread);
  }

  // ---- Requests; in the scheduler's thread ----

  /** Why a request was refused, or empty if it was taken. */
  Optional<String> submit(EngineRun run) {
    if (faults.refuse()) {
      return Optional.of("refusing new requests");
    }
    if (waiting.size() >= settings.maxWaiting()) {
      return Optional.of("too many waiting requests");
    }
    runs.put(key(run.call.requestId(), run.call.attempt()), run);
    waiting.add(run);
    return Optional.empty();
  }

  /** Creates a reader whose delayed events keep their order. */
  Subscriber reader(ActorSystem<?> system) {
    return Subscriber.create(system, thread, faults.silencesNew());
  }

  long nextArrival() {
    return arrivals++;
  }

  /** Tells whether an attempt is known, whatever became of it. */
  boolean knows(ChatCall call) {
    return runs.containsKey(key(call.requestId(), call.attempt()));
  }

  /** Attaches a reader after an offset; false if the stream is not held. */
  boolean attach(String requestId, long attempt, int offset, Subscriber reader) {
    EngineRun run = runs.get(key(requestId, attempt));
    if (run == null || run.state == EngineRun.State.CANCELLED) {
      return false;
    }
    for (StreamFrame frame : run.frames) {
      if (frame.closing() || frame.offset() > offset) {
        reader.send(frame.bytes(run.call), faults.lateMillis());
      }
    }
    if (run.active()) {
      run.subscribers.add(reader);
      run.lastReadMillis = System.currentTimeMillis();
    } else {
      reader.end(faults.lateMillis());
    }
    return true;
  }

  /** Forgets a reader whose connection ended. */
  void detach(Subscriber reader) {
    for (EngineRun run : runs.values()) {
      if (run.subscribers.remove(reader)) {
        run.lastReadMillis = System.currentTimeMillis();
      }
    }
  }

  /** Cancels all attempts of a request; returns how many were active. */
  int cancel(String requestId) {
    int cancelled = 0;
    for (EngineRun run : runs.values()) {
      if (run.call.requestId().equals(requestId) && run.active()) {
        stop(run, EngineRun.State.CANCELLED, "cancelled");
        cancelled++;
      }
    }
    return cancelled;
  }

  /** Stops a running request and keeps its KV cache. */
  Optional<KvStore.Kv> export(String requestId) {
    for (EngineRun run : runs.values()) {
      boolean found = run.call.requestId().equals(requestId);
      if (found && run.state == EngineRun.State.RUNNING && run.prefillLeft == 0) {
        stop(run, EngineRun.State.EXPORTED, "exported");
        long bytes = (long) run.heldTokens() * settings.kvBytesPerToken();
        KvStore.Kv kv =
            new KvStore.Kv(UUID.randomUUID().toString(), run.seed, run.heldTokens(), bytes);
        kvs.export(kv);
        return Optional.of(kv);
      }
    }
    return Optional.empty();
  }

  private void stop(EngineRun run, EngineRun.State state, String detail) {
    run.state = state;
    run.endedMillis = System.currentTimeMillis();
    waiting.remove(run);
    running.remove(run);
    record(run, Ledger.Event.CANCELLED, run.generated(), 0, null, detail);
    endReaders(run);
  }

  private void endReaders(EngineRun run) {
    for (Subscriber reader : run.subscribers) {
      reader.end(faults.lateMillis());
    }
    run.subscribers.clear();
    run.lastReadMillis = System.currentTimeMillis();
  }

  // ---- Steps ----

  private void step() {
    long begin = System.nanoTime();
    try {
      admit();
      int budget = settings.prefillTokens();
      for (EngineRun run : List.copyOf(running)) {
        budget = advance(run, budget);
      }
    } finally {
      long millis = (long) (settings.stepMillis() * faults.slowFactor());
      long left = TimeUnit.MILLISECONDS.toNanos(millis) - (System.nanoTime() - begin);
      if (!thread.isShutdown()) {
        thread.schedule(this::step, Math.max(0, left), TimeUnit.NANOSECONDS);
      }
    }
  }

  private void admit() {
    if (waiting.isEmpty()) {
      return;
    }
    waiting.sort(ADMISSION);
    while (running.size() < settings.maxBatch() && !waiting.isEmpty()) {
      EngineRun run = waiting.remove(0);
      run.state = EngineRun.State.RUNNING;
      run.cachedTokens = cachedTokens(run);
      run.prefillLeft = run.sequenceTokens - run.cachedTokens;
      running.add(run);
      int recomputed = run.call.continues() ? run.prefillLeft : 0;
      record(run, Ledger.Event.STARTED, run.prefillLeft, recomputed, null, null);
    }
  }

  private int cachedTokens(EngineRun run) {
    if (!run.call.kvId().isEmpty() && kvs.take(run.call.kvId(), run.seed).isPresent()) {
      return run.sequenceTokens;
    }
    int cached = cache.lookup(run.hashes) * PrefixHashes.BLOCK_TOKENS;
    return Math.min(cached, run.sequenceTokens - 1);
  }

  private int advance(EngineRun run, int budget) {
    if (run.prefillLeft == 0) {
      decode(run);
      return budget - 1;
    }
    int share = Math.max(0, Math.min(budget, run.prefillLeft));
    run.prefillLeft -= share;
    run.prefillDone += share;
    if (run.prefillLeft == 0) {
      cache.store(run.hashes);
      if (faults.crashesOn(run.call.prompt())) {
        Runtime.getRuntime().halt(CRASH_STATUS);
      }
    }
    return budget - share;
  }

  private void decode(EngineRun run) {
    if (run.offset < run.call.maxTokens()) {
      run.offset++;
      emit(run, StreamFrame.token(run, EngineAnswers.token(run.seed, run.offset)));
      if (random.nextDouble() < faults.cut()) {
        endReaders(run);
      }
    }
    if (run.offset >= run.call.maxTokens()) {
      finish(run);
    }
  }

  private void finish(EngineRun run) {
    String answer = EngineAnswers.text(run.seed, run.offset);
    String hash = Ledger.sha256(answer.getBytes(StandardCharsets.UTF_8));
    record(run, Ledger.Event.FINISHED, run.generated(), 0, hash, null);
    emit(run, StreamFrame.finish(run));
    emit(run, StreamFrame.usage(run));
    emit(run, StreamFrame.done(run));
    run.state = EngineRun.State.FINISHED;
    run.endedMillis = System.currentTimeMillis();
    running.remove(run);
    endReaders(run);
  }

  private void emit(EngineRun run, StreamFrame frame) {
    run.frames.add(frame);
    run.lastSentMillis = System.currentTimeMillis();
    for (Subscriber reader : run.subscribers) {
      if (random.nextDouble() < faults.crossed()) {
        reader.send(crossed(run, frame), faults.lateMillis());
      }
      reader.send(frame.bytes(run.call), faults.lateMillis());
    }
  }

  private ByteString crossed(EngineRun run, StreamFrame frame) {
    StreamFrame foreign = StreamFrame.token(run, "zzz ");
    ChatCall call = run.call;
    return switch (random.nextInt(3)) {
      case 0 -> foreign.bytes("crossed-" + call.requestId(), call.attempt(), frame.offset());
      case 1 -> foreign.bytes(call.requestId(), call.attempt() + 100, frame.offset());
      default -> foreign.bytes(call.requestId(), call.attempt(), frame.offset() + 7);
    };
  }

  // ---- Upkeep, faults and figures ----

  private void upkeep() {
    long now = System.currentTimeMillis();
    for (EngineRun run : List.copyOf(runs.values())) {
      if (!run.active()) {
        if (now - run.endedMillis > KEPT_MILLIS) {
          runs.remove(key(run.call.requestId(), run.call.attempt()));
        }
      } else if (run.subscribers.isEmpty() && now - run.lastReadMillis > ORPHAN_MILLIS) {
        stop(run, EngineRun.State.CANCELLED, "nobody reads");
      } else if (now - run.lastSentMillis >= HEARTBEAT_MILLIS) {
        run.lastSentMillis = now;
        run.subscribers.forEach(s -> s.send(StreamFrame.HEARTBEAT, faults.lateMillis()));
      }
    }
  }

  EngineFaults faults() {
    return faults;
  }

  void setFaults(EngineFaults next) {
    if (next.crashNow()) {
      Runtime.getRuntime().halt(CRASH_STATUS);
    }
    faults = next;
    if (next.silencesExisting()) {
      runs.values().forEach(r -> r.subscribers.forEach(Subscriber::silence));
    }
  }

  private void takeReport() {
    report = load();
  }

  EngineLoad report() {
    return report;
  }

  private EngineLoad load() {
    long waitingTokens = 0;
    long held = 0;
    for (EngineRun run : waiting) {
      waitingTokens += run.waitingTokens();
    }
    for (EngineRun run : running) {
      waitingTokens += run.waitingTokens();
      held += run.heldTokens();
    }
    double steps = 1_000.0 / (settings.stepMillis() * faults.slowFactor());
    double capacity = (double) settings.cacheBlocks() * PrefixHashes.BLOCK_TOKENS;
    return new EngineLoad(
        running.size(),
        waiting.size(),
        waitingTokens,
        Math.min(1, held / capacity),
        steps,
        steps * settings.prefillTokens(),
        System.currentTimeMillis());
  }

  List<CacheEvents.View> cacheEvents(long after) {
    return events.after(after);
  }

  KvStore kvs() {
    return kvs;
  }

  /** Notes a request that was refused before it ran. */
  void refused(ChatCall call, String reason) {
    ledger.write(
        new Ledger.Entry(
            System.currentTimeMillis(),
            settings.id(),
            call.requestId(),
            call.attempt(),
            call.idempotencyKey(),
            Ledger.Event.REFUSED,
            0,
            0,
            null,
            reason));
  }

  private void record(
      EngineRun run, Ledger.Event event, int tokens, int recomputed, String hash, String detail) {
    ledger.write(
        new Ledger.Entry(
            System.currentTimeMillis(),
            settings.id(),
            run.call.requestId(),
            run.call.attempt(),
            run.call.idempotencyKey(),
            event,
            tokens,
            recomputed,
            hash,
            detail));
  }

  private static String key(String requestId, long attempt) {
    return requestId + ":" + attempt;
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }
}
