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
import org.heatherspread.standin.ExecutionLog;
import org.heatherspread.standin.answer.CompletionGenerator;

/**
 * Runs the batching loop of the engine. Waiting requests are admitted by priority and arrival; the
 * token budget of a step is shared between decoding for running requests and the prefill of new
 * ones. The events of each stream are buffered, so that a stream can be resumed at an offset.
 *
 * <p>All state is confined to one thread. Other threads use {@link #execute}; only {@link
 * #kvCaches} and {@link #close} may be called directly.
 */
final class EngineScheduler implements AutoCloseable {
  /** The exit status that a shell reports for a process ended by SIGABRT. */
  private static final int CRASH_EXIT_CODE = 134;

  private static final long HEARTBEAT_INTERVAL_MILLIS = 1_000;
  private static final long MAINTENANCE_INTERVAL_MILLIS = 100;
  private static final long ORPHAN_TIMEOUT_MILLIS = 30_000;
  private static final long RETENTION_MILLIS = 60_000;
  private static final Comparator<EngineAttempt> ADMISSION_ORDER =
      Comparator.<EngineAttempt>comparingLong(a -> -a.request.priority())
          .thenComparingLong(a -> a.arrivalNumber);

  private final EngineSettings settings;
  private final ExecutionLog executionLog;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "engine-steps"));
  private final SplittableRandom random;
  private final KvCacheStore kvCaches = new KvCacheStore();
  private final CacheEventLog cacheEvents;
  private final PrefixCache prefixCache;
  private final Map<String, EngineAttempt> attempts = new LinkedHashMap<>();
  private final List<EngineAttempt> waiting = new ArrayList<>();
  private final List<EngineAttempt> running = new ArrayList<>();
  private EngineFaults faults = EngineFaults.none();
  private EngineLoad loadReport;
  private long arrivalCount;

  private EngineScheduler(EngineSettings settings, ExecutionLog executionLog) {
    this.settings = settings;
    this.executionLog = executionLog;
    this.random = new SplittableRandom(settings.seed());
    this.cacheEvents =
        new CacheEventLog(
            settings.eventDelayMillis(), settings.eventLossProbability(), random.split());
    this.prefixCache = new PrefixCache(settings.cacheBlocks(), cacheEvents);
    this.loadReport = measureLoad();
  }

  static EngineScheduler start(EngineSettings settings, ExecutionLog executionLog) {
    EngineScheduler scheduler = new EngineScheduler(settings, executionLog);
    scheduler.executor.execute(scheduler::step);
    scheduler.executor.scheduleAtFixedRate(
        scheduler::maintainAttempts,
        MAINTENANCE_INTERVAL_MILLIS,
        MAINTENANCE_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    scheduler.executor.scheduleAtFixedRate(
        scheduler::updateLoadReport, 0, settings.metricsLagMillis(), TimeUnit.MILLISECONDS);
    return scheduler;
  }

  /** Runs a task in the thread of the scheduler. */
  <T> CompletableFuture<T> execute(Supplier<T> task) {
    return CompletableFuture.supplyAsync(task, executor);
  }

  /** Queues an attempt; returns the reason if it is refused. */
  Optional<String> enqueue(EngineAttempt attempt) {
    if (faults.refuse()) {
      return Optional.of("refusing new requests");
    }
    if (waiting.size() >= settings.maxWaiting()) {
      return Optional.of("too many waiting requests");
    }
    attempts.put(key(attempt.request.requestId(), attempt.request.attempt()), attempt);
    waiting.add(attempt);
    return Optional.empty();
  }

  /**
   * Creates a subscriber that sends in the thread of the scheduler, which keeps delayed events in
   * order.
   */
  StreamSubscriber createSubscriber(ActorSystem<?> system) {
    return StreamSubscriber.create(system, executor, faults.stallsNewStreams());
  }

  long nextArrivalNumber() {
    return arrivalCount++;
  }

  /** Returns whether an attempt is retained, in whatever state. */
  boolean isKnown(CompletionRequest request) {
    return attempts.containsKey(key(request.requestId(), request.attempt()));
  }

  /**
   * Sends the buffered events after an offset to a subscriber. It then receives later events, or is
   * completed if the attempt has ended. Returns false if the attempt is unknown or cancelled.
   */
  boolean attach(String requestId, long attemptNumber, int offset, StreamSubscriber subscriber) {
    EngineAttempt attempt = attempts.get(key(requestId, attemptNumber));
    if (attempt == null || attempt.state == EngineAttempt.State.CANCELLED) {
      return false;
    }
    for (StreamFrame frame : attempt.frames) {
      if (frame.afterLastToken() || frame.offset() > offset) {
        subscriber.send(frame.encode(attempt.request), faults.lateMillis());
      }
    }
    if (attempt.isActive()) {
      attempt.subscribers.add(subscriber);
      attempt.lastReadAtMillis = System.currentTimeMillis();
    } else {
      subscriber.complete(faults.lateMillis());
    }
    return true;
  }

  /** Removes a subscriber whose connection was closed. */
  void detach(StreamSubscriber subscriber) {
    for (EngineAttempt attempt : attempts.values()) {
      if (attempt.subscribers.remove(subscriber)) {
        attempt.lastReadAtMillis = System.currentTimeMillis();
      }
    }
  }

  /** Cancels all attempts of a request and returns the number of those that were active. */
  int cancel(String requestId) {
    int cancelled = 0;
    for (EngineAttempt attempt : attempts.values()) {
      if (attempt.request.requestId().equals(requestId) && attempt.isActive()) {
        stop(attempt, EngineAttempt.State.CANCELLED, "cancelled");
        cancelled++;
      }
    }
    return cancelled;
  }

  /** Stops a request that is decoding and exports its KV cache. */
  Optional<KvCacheStore.KvCache> export(String requestId) {
    for (EngineAttempt attempt : attempts.values()) {
      boolean matches = attempt.request.requestId().equals(requestId);
      if (matches
          && attempt.state == EngineAttempt.State.RUNNING
          && attempt.remainingPrefillTokens == 0) {
        stop(attempt, EngineAttempt.State.EXPORTED, "exported");
        long bytes = (long) attempt.kvCacheTokens() * settings.kvBytesPerToken();
        KvCacheStore.KvCache cache =
            new KvCacheStore.KvCache(
                UUID.randomUUID().toString(), attempt.seed, attempt.kvCacheTokens(), bytes);
        kvCaches.putExported(cache);
        return Optional.of(cache);
      }
    }
    return Optional.empty();
  }

  private void stop(EngineAttempt attempt, EngineAttempt.State state, String detail) {
    attempt.state = state;
    attempt.endedAtMillis = System.currentTimeMillis();
    waiting.remove(attempt);
    running.remove(attempt);
    record(attempt, ExecutionLog.Event.CANCELLED, attempt.generatedTokens(), 0, null, detail);
    closeSubscribers(attempt);
  }

  private void closeSubscribers(EngineAttempt attempt) {
    for (StreamSubscriber subscriber : attempt.subscribers) {
      subscriber.complete(faults.lateMillis());
    }
    attempt.subscribers.clear();
    attempt.lastReadAtMillis = System.currentTimeMillis();
  }

  private void step() {
    long startNanos = System.nanoTime();
    try {
      admit();
      int budget = settings.prefillTokensPerStep();
      for (EngineAttempt attempt : List.copyOf(running)) {
        budget = advance(attempt, budget);
      }
    } finally {
      long millis = (long) (settings.stepMillis() * faults.slowFactor());
      long remainingNanos =
          TimeUnit.MILLISECONDS.toNanos(millis) - (System.nanoTime() - startNanos);
      if (!executor.isShutdown()) {
        executor.schedule(this::step, Math.max(0, remainingNanos), TimeUnit.NANOSECONDS);
      }
    }
  }

  private void admit() {
    if (waiting.isEmpty()) {
      return;
    }
    waiting.sort(ADMISSION_ORDER);
    while (running.size() < settings.maxBatch() && !waiting.isEmpty()) {
      EngineAttempt attempt = waiting.remove(0);
      attempt.state = EngineAttempt.State.RUNNING;
      attempt.cachedTokens = cachedTokens(attempt);
      attempt.remainingPrefillTokens = attempt.sequenceTokens - attempt.cachedTokens;
      running.add(attempt);
      int recomputedTokens = attempt.request.isContinuation() ? attempt.remainingPrefillTokens : 0;
      record(
          attempt,
          ExecutionLog.Event.STARTED,
          attempt.remainingPrefillTokens,
          recomputedTokens,
          null,
          null);
    }
  }

  private int cachedTokens(EngineAttempt attempt) {
    if (!attempt.request.kvId().isEmpty()
        && kvCaches.takeImported(attempt.request.kvId(), attempt.seed).isPresent()) {
      return attempt.sequenceTokens;
    }
    int cached = prefixCache.lookup(attempt.blockHashes) * PrefixHashes.BLOCK_TOKENS;
    return Math.min(cached, attempt.sequenceTokens - 1);
  }

  private int advance(EngineAttempt attempt, int budget) {
    if (attempt.remainingPrefillTokens == 0) {
      decode(attempt);
      return budget - 1;
    }
    int computedTokens = Math.max(0, Math.min(budget, attempt.remainingPrefillTokens));
    attempt.remainingPrefillTokens -= computedTokens;
    attempt.computedPrefillTokens += computedTokens;
    if (attempt.remainingPrefillTokens == 0) {
      prefixCache.store(attempt.blockHashes);
      if (faults.crashesOn(attempt.request.prompt())) {
        Runtime.getRuntime().halt(CRASH_EXIT_CODE);
      }
    }
    return budget - computedTokens;
  }

  private void decode(EngineAttempt attempt) {
    if (attempt.offset < attempt.request.maxTokens()) {
      attempt.offset++;
      emit(
          attempt,
          StreamFrame.token(attempt, CompletionGenerator.token(attempt.seed, attempt.offset)));
      if (random.nextDouble() < faults.cut()) {
        closeSubscribers(attempt);
      }
    }
    if (attempt.offset >= attempt.request.maxTokens()) {
      finish(attempt);
    }
  }

  private void finish(EngineAttempt attempt) {
    String text = CompletionGenerator.text(attempt.seed, attempt.offset);
    String sha256 = ExecutionLog.sha256(text.getBytes(StandardCharsets.UTF_8));
    record(attempt, ExecutionLog.Event.FINISHED, attempt.generatedTokens(), 0, sha256, null);
    emit(attempt, StreamFrame.finish(attempt));
    emit(attempt, StreamFrame.usage(attempt));
    emit(attempt, StreamFrame.done(attempt));
    attempt.state = EngineAttempt.State.FINISHED;
    attempt.endedAtMillis = System.currentTimeMillis();
    running.remove(attempt);
    closeSubscribers(attempt);
  }

  private void emit(EngineAttempt attempt, StreamFrame frame) {
    attempt.frames.add(frame);
    attempt.lastSentAtMillis = System.currentTimeMillis();
    for (StreamSubscriber subscriber : attempt.subscribers) {
      if (random.nextDouble() < faults.crossed()) {
        subscriber.send(createCrossedFrame(attempt, frame), faults.lateMillis());
      }
      subscriber.send(frame.encode(attempt.request), faults.lateMillis());
    }
  }

  private ByteString createCrossedFrame(EngineAttempt attempt, StreamFrame frame) {
    StreamFrame foreign = StreamFrame.token(attempt, "zzz ");
    CompletionRequest request = attempt.request;
    return switch (random.nextInt(3)) {
      case 0 -> foreign.encode("crossed-" + request.requestId(), request.attempt(), frame.offset());
      case 1 -> foreign.encode(request.requestId(), request.attempt() + 100, frame.offset());
      default -> foreign.encode(request.requestId(), request.attempt(), frame.offset() + 7);
    };
  }

  private void maintainAttempts() {
    long now = System.currentTimeMillis();
    for (EngineAttempt attempt : List.copyOf(attempts.values())) {
      if (!attempt.isActive()) {
        if (now - attempt.endedAtMillis > RETENTION_MILLIS) {
          attempts.remove(key(attempt.request.requestId(), attempt.request.attempt()));
        }
      } else if (attempt.subscribers.isEmpty()
          && now - attempt.lastReadAtMillis > ORPHAN_TIMEOUT_MILLIS) {
        stop(attempt, EngineAttempt.State.CANCELLED, "nobody reads");
      } else if (now - attempt.lastSentAtMillis >= HEARTBEAT_INTERVAL_MILLIS) {
        attempt.lastSentAtMillis = now;
        attempt.subscribers.forEach(s -> s.send(StreamFrame.HEARTBEAT, faults.lateMillis()));
      }
    }
  }

  EngineFaults faults() {
    return faults;
  }

  void setFaults(EngineFaults newFaults) {
    if (newFaults.crashNow()) {
      Runtime.getRuntime().halt(CRASH_EXIT_CODE);
    }
    faults = newFaults;
    if (newFaults.stallsExistingStreams()) {
      attempts.values().forEach(a -> a.subscribers.forEach(StreamSubscriber::stall));
    }
  }

  private void updateLoadReport() {
    loadReport = measureLoad();
  }

  EngineLoad loadReport() {
    return loadReport;
  }

  private EngineLoad measureLoad() {
    long waitingPromptTokens = 0;
    long kvTokens = 0;
    for (EngineAttempt attempt : waiting) {
      waitingPromptTokens += attempt.pendingPrefillTokens();
    }
    for (EngineAttempt attempt : running) {
      waitingPromptTokens += attempt.pendingPrefillTokens();
      kvTokens += attempt.kvCacheTokens();
    }
    double stepsPerSecond = 1_000.0 / (settings.stepMillis() * faults.slowFactor());
    double capacityTokens = (double) settings.cacheBlocks() * PrefixHashes.BLOCK_TOKENS;
    return new EngineLoad(
        running.size(),
        waiting.size(),
        waitingPromptTokens,
        Math.min(1, kvTokens / capacityTokens),
        stepsPerSecond,
        stepsPerSecond * settings.prefillTokensPerStep(),
        System.currentTimeMillis());
  }

  List<CacheEventLog.Event> cacheEventsAfter(long after) {
    return cacheEvents.eventsAfter(after);
  }

  KvCacheStore kvCaches() {
    return kvCaches;
  }

  /** Logs a request that was refused before execution. */
  void recordRefusal(CompletionRequest request, String reason) {
    executionLog.write(
        new ExecutionLog.Entry(
            System.currentTimeMillis(),
            settings.id(),
            request.requestId(),
            request.attempt(),
            request.idempotencyKey(),
            ExecutionLog.Event.REFUSED,
            0,
            0,
            null,
            reason));
  }

  private void record(
      EngineAttempt attempt,
      ExecutionLog.Event event,
      int tokens,
      int recomputedTokens,
      String sha256,
      String detail) {
    executionLog.write(
        new ExecutionLog.Entry(
            System.currentTimeMillis(),
            settings.id(),
            attempt.request.requestId(),
            attempt.request.attempt(),
            attempt.request.idempotencyKey(),
            event,
            tokens,
            recomputedTokens,
            sha256,
            detail));
  }

  private static String key(String requestId, long attemptNumber) {
    return requestId + ":" + attemptNumber;
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
