package org.heatherspread.daemon.chat;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.request.FrameDisposition;
import org.heatherspread.core.retry.RetryReason;

/** Metrics of chat completions. Thread-safe; all meters are registered at construction. */
final class ChatMetrics {
  private final Map<RetryReason, Counter> retries = new EnumMap<>(RetryReason.class);
  private final Map<FrameDisposition, Counter> droppedFrames =
      new EnumMap<>(FrameDisposition.class);
  private final Map<ErrorKind, Counter> streamsCut = new EnumMap<>(ErrorKind.class);
  private final Counter recomputedTokens;
  private final Counter relayedTokens;
  private final Counter resumedStreams;
  private final Timer firstTokenLatency;
  private final Timer interTokenLatency;

  private ChatMetrics(MeterRegistry meters) {
    for (RetryReason reason : RetryReason.values()) {
      retries.put(
          reason,
          Counter.builder("heatherspread.retries")
              .description("Attempts that ended without an answer, by reason")
              .tag("reason", reason.code())
              .register(meters));
    }
    for (FrameDisposition disposition : FrameDisposition.values()) {
      if (disposition.isDropped()) {
        droppedFrames.put(
            disposition,
            Counter.builder("heatherspread.frames.dropped")
                .description("Frames from engines that were not passed on, by reason")
                .tag("reason", disposition.code())
                .register(meters));
      }
    }
    for (ErrorKind kind : ErrorKind.values()) {
      streamsCut.put(
          kind,
          Counter.builder("heatherspread.streams.cut")
              .description("Streams that ended with an error event, by kind")
              .tag("kind", kind.code())
              .register(meters));
    }
    recomputedTokens =
        Counter.builder("heatherspread.tokens.recomputed")
            .description("Prompt and answer tokens that engines had to compute again")
            .register(meters);
    relayedTokens =
        Counter.builder("heatherspread.tokens.relayed")
            .description("Answer tokens passed on to callers")
            .register(meters);
    resumedStreams =
        Counter.builder("heatherspread.streams.resumed")
            .description("Streams reopened at the same engine after an offset")
            .register(meters);
    firstTokenLatency =
        Timer.builder("heatherspread.first.token")
            .description("From acceptance to the first token")
            .publishPercentileHistogram()
            .register(meters);
    interTokenLatency =
        Timer.builder("heatherspread.inter.token")
            .description("Between tokens of a stream, a mean for each chunk that came")
            .publishPercentileHistogram()
            .register(meters);
  }

  static ChatMetrics create(MeterRegistry meters) {
    return new ChatMetrics(meters);
  }

  void recordRetry(RetryReason reason) {
    retries.get(reason).increment();
  }

  void recordDroppedFrame(FrameDisposition disposition) {
    droppedFrames.get(disposition).increment();
  }

  void recordStreamCut(ErrorKind kind) {
    streamsCut.get(kind).increment();
  }

  void recordRecomputedTokens(long count) {
    recomputedTokens.increment(count);
  }

  void recordResume() {
    resumedStreams.increment();
  }

  void recordFirstTokenLatency(long nanos) {
    firstTokenLatency.record(nanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Records tokens that arrived in one chunk.
   *
   * @param nanosSinceLast time since the previous chunk that contained tokens
   */
  void recordTokens(int count, long nanosSinceLast) {
    relayedTokens.increment(count);
    interTokenLatency.record(nanosSinceLast / count, TimeUnit.NANOSECONDS);
  }

  void recordFirstTokens(int count) {
    relayedTokens.increment(count);
  }
}
