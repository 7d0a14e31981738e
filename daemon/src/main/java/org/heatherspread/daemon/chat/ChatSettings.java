package org.heatherspread.daemon.chat;

import java.time.Duration;
import org.heatherspread.core.request.RequestPolicy;
import org.heatherspread.core.retry.Backoff;
import org.heatherspread.core.retry.RetryBudgetSettings;
import org.heatherspread.settings.Section;

/**
 * How chat completions are served. Immutable.
 *
 * @param policy bounds of each request's progress
 * @param retryBudget size of each service's retry budget
 * @param deadline interval of a request that states none
 * @param longestDeadline longest interval that a request may state
 * @param defaultMaxTokens answer tokens of a request that states none
 * @param slowCaller longest time that a caller may leave its stream unread
 * @param resumeWindow how long the stream of a caller that stopped reading is kept
 * @param moveInterval time between the moves of two streams off a leaving endpoint
 */
public record ChatSettings(
    RequestPolicy policy,
    RetryBudgetSettings retryBudget,
    Duration deadline,
    Duration longestDeadline,
    int defaultMaxTokens,
    Duration slowCaller,
    Duration resumeWindow,
    Duration moveInterval) {
  private static final Duration DEFAULT_DEADLINE = Duration.ofMinutes(2);
  private static final Duration DEFAULT_LONGEST_DEADLINE = Duration.ofMinutes(10);
  private static final int DEFAULT_MAX_TOKENS = 1_024;
  private static final int MOST_MAX_TOKENS = 1 << 20;
  private static final Duration DEFAULT_SLOW_CALLER = Duration.ofSeconds(30);
  private static final Duration DEFAULT_RESUME_WINDOW = Duration.ofSeconds(30);
  private static final Duration DEFAULT_MOVE_INTERVAL = Duration.ofMillis(2);
  private static final Duration MOST = Duration.ofHours(1);
  private static final int MOST_ATTEMPTS = 100;

  /** Returns the settings of a deployment that states none. */
  public static ChatSettings defaults() {
    return new ChatSettings(
        RequestPolicy.defaults(),
        RetryBudgetSettings.defaults(),
        DEFAULT_DEADLINE,
        DEFAULT_LONGEST_DEADLINE,
        DEFAULT_MAX_TOKENS,
        DEFAULT_SLOW_CALLER,
        DEFAULT_RESUME_WINDOW,
        DEFAULT_MOVE_INTERVAL);
  }

  /** Reads the settings from the section {@code chat}. */
  public static ChatSettings read(Section section) {
    return new ChatSettings(
        readPolicy(section),
        readBudget(section),
        duration(section, "deadline", DEFAULT_DEADLINE),
        duration(section, "longest_deadline", DEFAULT_LONGEST_DEADLINE),
        section.integer("default_max_tokens", DEFAULT_MAX_TOKENS, 1, MOST_MAX_TOKENS),
        duration(section, "slow_caller", DEFAULT_SLOW_CALLER),
        duration(section, "resume_window", DEFAULT_RESUME_WINDOW),
        duration(section, "move_interval", DEFAULT_MOVE_INTERVAL));
  }

  private static RequestPolicy readPolicy(Section section) {
    RequestPolicy base = RequestPolicy.defaults();
    Backoff backoff = base.backoff();
    return new RequestPolicy(
        duration(section, "start_bound", base.startTimeout()),
        duration(section, "silence_bound", base.silenceTimeout()),
        duration(section, "first_token_bound", base.firstTokenTimeout()),
        duration(section, "progress_bound", base.interTokenTimeout()),
        duration(section, "recovery_bound", base.recoveryTimeout()),
        duration(section, "kv_move_notice", base.minMoveNotice()),
        section.integer("max_attempts", base.maxAttempts(), 1, MOST_ATTEMPTS),
        new Backoff(
            duration(section, "backoff_base", backoff.base()),
            duration(section, "backoff_max", backoff.max())));
  }

  private static RetryBudgetSettings readBudget(Section section) {
    RetryBudgetSettings base = RetryBudgetSettings.defaults();
    return new RetryBudgetSettings(
        section.decimal("retry_ratio", base.ratio(), 0, 1),
        section.decimal("retries_per_second", base.perSecond(), 0, 1e6),
        section.decimal("retry_burst", base.burst(), 0, 1e6));
  }

  private static Duration duration(Section section, String name, Duration fallback) {
    return section.duration(name, fallback, Duration.ZERO, MOST);
  }
}
