package org.heatherspread.daemon.chat;

import java.time.Duration;
import org.heatherspread.core.request.RequestPolicy;
import org.heatherspread.core.retry.Backoff;
import org.heatherspread.core.retry.RetryBudgetSettings;
import org.heatherspread.settings.Section;

/**
 * How chat completions are served. Immutable.
 *
 * @param requestPolicy bounds of each request's progress
 * @param retryBudget size of each service's retry budget
 * @param defaultDeadline interval of a request that states none
 * @param maxDeadline longest interval that a request may state
 * @param defaultMaxTokens answer tokens of a request that states none
 * @param slowCallerTimeout longest time that a caller may leave its stream unread
 * @param resumeWindow how long the stream of a caller that stopped reading is kept
 * @param moveInterval time between the moves of two streams off a leaving endpoint
 */
public record ChatSettings(
    RequestPolicy requestPolicy,
    RetryBudgetSettings retryBudget,
    Duration defaultDeadline,
    Duration maxDeadline,
    int defaultMaxTokens,
    Duration slowCallerTimeout,
    Duration resumeWindow,
    Duration moveInterval) {
  private static final Duration DEFAULT_DEADLINE = Duration.ofMinutes(2);
  private static final Duration DEFAULT_MAX_DEADLINE = Duration.ofMinutes(10);
  private static final int DEFAULT_MAX_TOKENS = 1_024;
  private static final int MAX_TOKENS_LIMIT = 1 << 20;
  private static final Duration DEFAULT_SLOW_CALLER_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration DEFAULT_RESUME_WINDOW = Duration.ofSeconds(30);
  private static final Duration DEFAULT_MOVE_INTERVAL = Duration.ofMillis(2);
  private static final Duration MAX_DURATION = Duration.ofHours(1);
  private static final int MAX_ATTEMPTS_LIMIT = 100;

  /** Returns the settings of a deployment that states none. */
  public static ChatSettings defaults() {
    return new ChatSettings(
        RequestPolicy.defaults(),
        RetryBudgetSettings.defaults(),
        DEFAULT_DEADLINE,
        DEFAULT_MAX_DEADLINE,
        DEFAULT_MAX_TOKENS,
        DEFAULT_SLOW_CALLER_TIMEOUT,
        DEFAULT_RESUME_WINDOW,
        DEFAULT_MOVE_INTERVAL);
  }

  /** Reads the settings from the section {@code chat}. */
  public static ChatSettings read(Section section) {
    return new ChatSettings(
        readPolicy(section),
        readRetryBudget(section),
        duration(section, "deadline", DEFAULT_DEADLINE),
        duration(section, "longest_deadline", DEFAULT_MAX_DEADLINE),
        section.integer("default_max_tokens", DEFAULT_MAX_TOKENS, 1, MAX_TOKENS_LIMIT),
        duration(section, "slow_caller", DEFAULT_SLOW_CALLER_TIMEOUT),
        duration(section, "resume_window", DEFAULT_RESUME_WINDOW),
        duration(section, "move_interval", DEFAULT_MOVE_INTERVAL));
  }

  private static RequestPolicy readPolicy(Section section) {
    RequestPolicy defaults = RequestPolicy.defaults();
    Backoff backoff = defaults.backoff();
    return new RequestPolicy(
        duration(section, "start_bound", defaults.startTimeout()),
        duration(section, "silence_bound", defaults.silenceTimeout()),
        duration(section, "first_token_bound", defaults.firstTokenTimeout()),
        duration(section, "progress_bound", defaults.interTokenTimeout()),
        duration(section, "recovery_bound", defaults.recoveryTimeout()),
        duration(section, "kv_move_notice", defaults.minMoveNotice()),
        section.integer("max_attempts", defaults.maxAttempts(), 1, MAX_ATTEMPTS_LIMIT),
        new Backoff(
            duration(section, "backoff_base", backoff.base()),
            duration(section, "backoff_max", backoff.max())));
  }

  private static RetryBudgetSettings readRetryBudget(Section section) {
    RetryBudgetSettings defaults = RetryBudgetSettings.defaults();
    return new RetryBudgetSettings(
        section.decimal("retry_ratio", defaults.ratio(), 0, 1),
        section.decimal("retries_per_second", defaults.perSecond(), 0, 1e6),
        section.decimal("retry_burst", defaults.burst(), 0, 1e6));
  }

  private static Duration duration(Section section, String name, Duration fallback) {
    return section.duration(name, fallback, Duration.ZERO, MAX_DURATION);
  }
}
