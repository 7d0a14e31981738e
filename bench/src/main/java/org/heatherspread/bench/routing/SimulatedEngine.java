package org.heatherspread.bench.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.heatherspread.core.routing.CacheEvent;
import org.heatherspread.core.routing.LoadReport;
import org.heatherspread.core.routing.PrefixHashes;

/**
 * Simulates a model engine with continuous batching, chunked prefill and a least-recently-used
 * prefix cache. The caller advances it step by step. Not thread-safe.
 */
final class SimulatedEngine {
  private static final double SMOOTHING_FACTOR = 0.1;

  /** A request that waits or runs in the engine. */
  private static final class Sequence {
    final SimulatedRequest request;
    int remainingPrefillTokens;
    int remainingAnswerTokens;
    int kvBlocks;

    Sequence(SimulatedRequest request) {
      this.request = request;
    }
  }

  private final EngineParameters parameters;
  private final Set<Long> previouslyComputedBlocks;
  private final ArrayDeque<Sequence> waiting = new ArrayDeque<>();
  private final List<Sequence> batch = new ArrayList<>();
  private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(4_096, 0.75f, true);
  private final List<CacheEvent> cacheEvents = new ArrayList<>();
  private final List<SimulatedRequest> firstTokenRequests = new ArrayList<>();
  private final List<SimulatedRequest> completedRequests = new ArrayList<>();
  private int reservedBlocks;
  private long nextEventSequence = 1;
  private long recomputedTokens;
  private long computedTokens;
  private double meanStepMillis;
  private double meanPrefillTokensPerSecond;
  private int stepPrefillTokens;

  /**
   * Creates an idle engine with an empty cache.
   *
   * @param previouslyComputedBlocks hashes of all blocks computed so far; shared by the engines of
   *     a fleet and updated by each
   */
  SimulatedEngine(EngineParameters parameters, Set<Long> previouslyComputedBlocks) {
    this.parameters = parameters;
    this.previouslyComputedBlocks = previouslyComputedBlocks;
    this.meanStepMillis = parameters.baseStepMillis();
  }

  void submit(SimulatedRequest request) {
    waiting.add(new Sequence(request));
  }

  boolean isIdle() {
    return waiting.isEmpty() && batch.isEmpty();
  }

  /** Starts the next step and returns its duration in milliseconds. */
  double startStep() {
    admitWaiting();
    stepPrefillTokens = 0;
    int decodingRequests = 0;
    for (Sequence s : batch) {
      if (s.remainingPrefillTokens == 0) {
        decodingRequests++;
        continue;
      }
      int chunk =
          Math.min(s.remainingPrefillTokens, parameters.prefillTokensPerStep() - stepPrefillTokens);
      s.remainingPrefillTokens -= chunk;
      stepPrefillTokens += chunk;
      if (chunk > 0 && s.remainingPrefillTokens == 0) {
        decodingRequests++;
      }
    }
    double millis =
        parameters.baseStepMillis()
            + parameters.prefillMillisPerToken() * stepPrefillTokens
            + parameters.decodeMillisPerRequest() * decodingRequests;
    meanStepMillis += SMOOTHING_FACTOR * (millis - meanStepMillis);
    if (stepPrefillTokens > 0) {
      double measuredTokensPerSecond =
          1_000 * parameters.prefillTokensPerStep() / fullChunkMillis(decodingRequests);
      meanPrefillTokensPerSecond +=
          (meanPrefillTokensPerSecond == 0 ? 1 : SMOOTHING_FACTOR)
              * (measuredTokensPerSecond - meanPrefillTokensPerSecond);
    }
    return millis;
  }

  private double fullChunkMillis(int decodingRequests) {
    return parameters.baseStepMillis()
        + parameters.prefillMillisPerToken() * parameters.prefillTokensPerStep()
        + parameters.decodeMillisPerRequest() * decodingRequests;
  }

  /** Completes the step started last: each request whose prefill is complete gets one token. */
  void completeStep(double nowMillis) {
    Iterator<Sequence> iterator = batch.iterator();
    while (iterator.hasNext()) {
      Sequence s = iterator.next();
      if (s.remainingPrefillTokens > 0) {
        continue;
      }
      if (Double.isNaN(s.request.firstTokenAtMillis)) {
        s.request.firstTokenAtMillis = nowMillis;
        firstTokenRequests.add(s.request);
        storeBlocks(s.request.blockHashes);
      }
      s.remainingAnswerTokens--;
      if (s.remainingAnswerTokens <= 0) {
        s.request.completedAtMillis = nowMillis;
        reservedBlocks -= s.kvBlocks;
        completedRequests.add(s.request);
        iterator.remove();
      }
    }
  }

  private void admitWaiting() {
    while (!waiting.isEmpty() && batch.size() < parameters.maxBatchSize()) {
      Sequence s = waiting.peek();
      SimulatedRequest r = s.request;
      int cachedBlocks = countCachedPrefixBlocks(r.blockHashes);
      int uncachedTokens = Math.max(1, r.promptTokens - cachedBlocks * PrefixHashes.BLOCK_TOKENS);
      s.kvBlocks = 1 + (uncachedTokens + r.answerTokens) / PrefixHashes.BLOCK_TOKENS;
      if (reservedBlocks + s.kvBlocks > parameters.kvCacheBlocks() && !batch.isEmpty()) {
        return;
      }
      waiting.poll();
      s.remainingPrefillTokens = uncachedTokens;
      s.remainingAnswerTokens = r.answerTokens;
      reservedBlocks += s.kvBlocks;
      evictOldestBlocks();
      recordPrefill(r.blockHashes, cachedBlocks, uncachedTokens);
      batch.add(s);
    }
  }

  private int countCachedPrefixBlocks(long[] blockHashes) {
    int cachedBlocks = 0;
    while (cachedBlocks < blockHashes.length && cache.get(blockHashes[cachedBlocks]) != null) {
      cachedBlocks++;
    }
    return cachedBlocks;
  }

  private void recordPrefill(long[] blockHashes, int cachedBlocks, int uncachedTokens) {
    computedTokens += uncachedTokens;
    for (int i = cachedBlocks; i < blockHashes.length; i++) {
      if (!previouslyComputedBlocks.add(blockHashes[i])) {
        recomputedTokens += PrefixHashes.BLOCK_TOKENS;
      }
    }
  }

  private void storeBlocks(long[] blockHashes) {
    List<Long> newBlocks = new ArrayList<>();
    for (long hash : blockHashes) {
      if (cache.put(hash, Boolean.TRUE) == null) {
        newBlocks.add(hash);
      }
    }
    if (!newBlocks.isEmpty()) {
      addCacheEvent(CacheEvent.Kind.STORED, newBlocks);
    }
    evictOldestBlocks();
  }

  private void evictOldestBlocks() {
    List<Long> evictedBlocks = new ArrayList<>();
    Iterator<Map.Entry<Long, Boolean>> entries = cache.entrySet().iterator();
    while (cache.size() + reservedBlocks > parameters.kvCacheBlocks() && entries.hasNext()) {
      evictedBlocks.add(entries.next().getKey());
      entries.remove();
    }
    if (!evictedBlocks.isEmpty()) {
      addCacheEvent(CacheEvent.Kind.EVICTED, evictedBlocks);
    }
  }

  private void addCacheEvent(CacheEvent.Kind kind, List<Long> blockHashes) {
    long[] values = blockHashes.stream().mapToLong(Long::longValue).toArray();
    cacheEvents.add(new CacheEvent(nextEventSequence++, kind, values));
  }

  /** Returns and clears the cache events since the last call. */
  List<CacheEvent> drainCacheEvents() {
    List<CacheEvent> drained = List.copyOf(cacheEvents);
    cacheEvents.clear();
    return drained;
  }

  /** Returns and clears the requests that got their first token since the last call. */
  List<SimulatedRequest> drainFirstTokenRequests() {
    List<SimulatedRequest> drained = List.copyOf(firstTokenRequests);
    firstTokenRequests.clear();
    return drained;
  }

  /** Returns and clears the requests that completed since the last call. */
  List<SimulatedRequest> drainCompletedRequests() {
    List<SimulatedRequest> drained = List.copyOf(completedRequests);
    completedRequests.clear();
    return drained;
  }

  LoadReport createLoadReport(double nowMillis) {
    long pendingPromptTokens = 0;
    for (Sequence s : batch) {
      pendingPromptTokens += s.remainingPrefillTokens;
    }
    for (Sequence s : waiting) {
      pendingPromptTokens += s.request.promptTokens;
    }
    return new LoadReport(
        (long) nowMillis,
        batch.size(),
        waiting.size(),
        pendingPromptTokens,
        (double) reservedBlocks / parameters.kvCacheBlocks(),
        1_000 * batch.size() / meanStepMillis,
        meanPrefillTokensPerSecond);
  }

  long recomputedTokens() {
    return recomputedTokens;
  }

  long computedTokens() {
    return computedTokens;
  }
}
