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
 * A model engine with continuous batching, chunked prefill and a least-recently-used prefix cache,
 * advanced step by step. Not safe for use by several threads.
 */
final class EngineModel {
  private static final double SMOOTHING = 0.1;

  /** A request in the engine. */
  private static final class Sequence {
    final SimRequest request;
    int prefillLeft;
    int answerLeft;
    int blocks;

    Sequence(SimRequest request) {
      this.request = request;
    }
  }

  private final EngineSpec spec;
  private final Set<Long> everComputed;
  private final ArrayDeque<Sequence> waiting = new ArrayDeque<>();
  private final List<Sequence> batch = new ArrayList<>();
  private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(4_096, 0.75f, true);
  private final List<CacheEvent> events = new ArrayList<>();
  private final List<SimRequest> firstTokens = new ArrayList<>();
  private final List<SimRequest> ended = new ArrayList<>();
  private int reservedBlocks;
  private long nextEvent = 1;
  private long recomputedTokens;
  private long computedTokens;
  private double meanStepMillis;
  private double prefillPerSecond;
  private int stepPrefill;

  EngineModel(EngineSpec spec, Set<Long> everComputed) {
    this.spec = spec;
    this.everComputed = everComputed;
    this.meanStepMillis = spec.baseMillis();
  }

  void submit(SimRequest request) {
    waiting.add(new Sequence(request));
  }

  boolean idle() {
    return waiting.isEmpty() && batch.isEmpty();
  }

  /** Plans the next step and returns how long it takes. */
  double beginStep() {
    admit();
    stepPrefill = 0;
    int decoding = 0;
    for (Sequence s : batch) {
      if (s.prefillLeft == 0) {
        decoding++;
        continue;
      }
      int chunk = Math.min(s.prefillLeft, spec.chunkTokens() - stepPrefill);
      s.prefillLeft -= chunk;
      stepPrefill += chunk;
      if (chunk > 0 && s.prefillLeft == 0) {
        decoding++;
      }
    }
    double millis =
        spec.baseMillis()
            + spec.prefillMillisPerToken() * stepPrefill
            + spec.decodeMillisPerRequest() * decoding;
    meanStepMillis += SMOOTHING * (millis - meanStepMillis);
    if (stepPrefill > 0) {
      double seen = 1_000 * spec.chunkTokens() / fullChunkMillis(decoding);
      prefillPerSecond += (prefillPerSecond == 0 ? 1 : SMOOTHING) * (seen - prefillPerSecond);
    }
    return millis;
  }

  private double fullChunkMillis(int decoding) {
    return spec.baseMillis()
        + spec.prefillMillisPerToken() * spec.chunkTokens()
        + spec.decodeMillisPerRequest() * decoding;
  }

  /** Ends the step planned last: each request past its prefill gets a token. */
  void endStep(double nowMillis) {
    Iterator<Sequence> each = batch.iterator();
    while (each.hasNext()) {
      Sequence s = each.next();
      if (s.prefillLeft > 0) {
        continue;
      }
      if (Double.isNaN(s.request.firstTokenMillis)) {
        s.request.firstTokenMillis = nowMillis;
        firstTokens.add(s.request);
        store(s.request.hashes);
      }
      s.answerLeft--;
      if (s.answerLeft <= 0) {
        s.request.endMillis = nowMillis;
        reservedBlocks -= s.blocks;
        ended.add(s.request);
        each.remove();
      }
    }
  }

  private void admit() {
    while (!waiting.isEmpty() && batch.size() < spec.maxBatch()) {
      Sequence s = waiting.peek();
      SimRequest r = s.request;
      int cached = cachedBlocks(r.hashes);
      int uncached = Math.max(1, r.promptTokens - cached * PrefixHashes.BLOCK_TOKENS);
      s.blocks = 1 + (uncached + r.answerTokens) / PrefixHashes.BLOCK_TOKENS;
      if (reservedBlocks + s.blocks > spec.cacheBlocks() && !batch.isEmpty()) {
        return;
      }
      waiting.poll();
      s.prefillLeft = uncached;
      s.answerLeft = r.answerTokens;
      reservedBlocks += s.blocks;
      evict();
      countComputed(r.hashes, cached, uncached);
      batch.add(s);
    }
  }

  private int cachedBlocks(long[] hashes) {
    int cached = 0;
    while (cached < hashes.length && cache.get(hashes[cached]) != null) {
      cached++;
    }
    return cached;
  }

  private void countComputed(long[] hashes, int cached, int uncached) {
    computedTokens += uncached;
    for (int i = cached; i < hashes.length; i++) {
      if (!everComputed.add(hashes[i])) {
        recomputedTokens += PrefixHashes.BLOCK_TOKENS;
      }
    }
  }

  private void store(long[] hashes) {
    List<Long> fresh = new ArrayList<>();
    for (long hash : hashes) {
      if (cache.put(hash, Boolean.TRUE) == null) {
        fresh.add(hash);
      }
    }
    if (!fresh.isEmpty()) {
      publish(CacheEvent.Kind.STORED, fresh);
    }
    evict();
  }

  private void evict() {
    List<Long> gone = new ArrayList<>();
    Iterator<Map.Entry<Long, Boolean>> oldest = cache.entrySet().iterator();
    while (cache.size() + reservedBlocks > spec.cacheBlocks() && oldest.hasNext()) {
      gone.add(oldest.next().getKey());
      oldest.remove();
    }
    if (!gone.isEmpty()) {
      publish(CacheEvent.Kind.EVICTED, gone);
    }
  }

  private void publish(CacheEvent.Kind kind, List<Long> hashes) {
    long[] values = hashes.stream().mapToLong(Long::longValue).toArray();
    events.add(new CacheEvent(nextEvent++, kind, values));
  }

  /** Returns and clears the cache events since the last call. */
  List<CacheEvent> takeEvents() {
    List<CacheEvent> taken = List.copyOf(events);
    events.clear();
    return taken;
  }

  /** Returns and clears the requests whose first token came since the last call. */
  List<SimRequest> takeFirstTokens() {
    List<SimRequest> taken = List.copyOf(firstTokens);
    firstTokens.clear();
    return taken;
  }

  /** Returns and clears the requests that ended since the last call. */
  List<SimRequest> takeEnded() {
    List<SimRequest> taken = List.copyOf(ended);
    ended.clear();
    return taken;
  }

  LoadReport report(double nowMillis) {
    long prompt = 0;
    for (Sequence s : batch) {
      prompt += s.prefillLeft;
    }
    for (Sequence s : waiting) {
      prompt += s.request.promptTokens;
    }
    return new LoadReport(
        (long) nowMillis,
        batch.size(),
        waiting.size(),
        prompt,
        (double) reservedBlocks / spec.cacheBlocks(),
        1_000 * batch.size() / meanStepMillis,
        prefillPerSecond);
  }

  long recomputedTokens() {
    return recomputedTokens;
  }

  long computedTokens() {
    return computedTokens;
  }
}
