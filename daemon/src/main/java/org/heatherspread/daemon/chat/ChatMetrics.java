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

/**
 * What is counted of chat completions. Immutable and safe for use by any thread; the meters are
 * registered once.
 */
final class ChatMetrics {
  private final Map<RetryReason, Counter> retries = new EnumMap<>(RetryReason.class);
  private final Map<FrameDisposition, Counter> dropped = new EnumMap<>(FrameDisposition.class);
  private final Map<ErrorKind, Counter> cut = new EnumMap<>(ErrorKind.class);
  private final Counter recomputed;
  private final Counter tokens;
  private final Counter resumed;
  private final Timer firstToken;
  private final Timer interToken;

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
        dropped.put(
            disposition,
            Counter.builder("heatherspread.frames.dropped")
                .description("Frames from engines that were not passed on, by reason")
                .tag("reason", disposition.code())
                .register(meters));
      }
    }
    for (ErrorKind kind : ErrorKind.values()) {
      cut.put(
          kind,
          Counter.builder("heatherspread.streams.cut")
              .description("Streams that ended with an error event, by kind")
              .tag("kind", kind.code())
              .register(meters));
    }
    recomputed =
        Counter.builder("heatherspread.tokens.recomputed")
            .description("Prompt and answer tokens that engines had to compute again")
            .register(meters);
    tokens =
        Counter.builder("heatherspread.tokens.relayed")
            .description("Answer tokens passed on to callers")
            .register(meters);
    resumed =
        Counter.builder("heatherspread.streams.resumed")
            .description("Streams reopened at the same engine after an offset")
            .register(meters);
    firstToken =
        Timer.builder("heatherspread.first.token")
            .description("From acceptance to the first token")
            .publishPercentileHistogram()
            .register(meters);
    interToken =
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
    dropped.get(disposition).increment();
  }

  void recordStreamCut(ErrorKind kind) {
    cut.get(kind).increment();
  }

  void recordRecomputedTokens(long count) {
    recomputed.increment(count);
  }

  void recordResume() {
    resumed.increment();
  }

  void recordFirstTokenLatency(long nanos) {
    firstToken.record(nanos, TimeUnit.NANOSECONDS);
  }

  /** Records tokens that came together. */
  void recordTokens(int count, long nanosSinceLast) {
    tokens.increment(count);
    interToken.record(nanosSinceLast / count, TimeUnit.NANOSECONDS);
  }

  void recordFirstTokens(int count) {
    tokens.increment(count);
  }
}
