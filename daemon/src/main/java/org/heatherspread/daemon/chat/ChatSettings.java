package org.heatherspread.daemon.chat;

import java.time.Duration;
import org.heatherspread.core.request.RequestPolicy;
import org.heatherspread.core.retry.Backoff;
import org.heatherspread.core.retry.RetryBudgetSettings;
import org.heatherspread.settings.Section;

/**
 * Settings of chat completions. Immutable.
 *
 * @param requestPolicy timeouts and retry limits of a request
 * @param retryBudget retry budget of each service
 * @param defaultDeadline time allowed for a request that sets no deadline
 * @param maxDeadline maximum time that a request may allow
 * @param defaultMaxTokens maximum number of response tokens of a request that sets none
 * @param slowCallerTimeout maximum time without a read by the caller
 * @param resumeWindow time for which a stream is kept after its caller stopped reading
 * @param moveInterval interval between two moves of streams off a leaving endpoint
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

  /** Returns the default settings. */
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
