package org.heatherspread.core.config;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.store.Condition;
import org.heatherspread.core.store.Row;
import org.heatherspread.core.store.RowKey;
import org.heatherspread.core.store.TableStore;
import org.heatherspread.core.store.WriteResult;

/**
 * Log of confirmed plans in the table service, with one row for each version. The row with the
 * highest version is the head. The row after it is written on condition that it is absent, which is
 * an atomic compare-and-set of the head in a single write.
 *
 * <p>Versions have no gaps. A plan occurs in the log at most once, because its id is the write id
 * of the row and each writer reads the log from the plan's base version to the head before it
 * writes. Immutable and thread-safe.
 */
public final class ConfigurationLog {
  private static final String LOG_PARTITION = "config-log";
  private static final RowKey SNAPSHOT_KEY = new RowKey("config-snapshot", "latest");
  private static final String PLAN_PARTITION = "plan";
  private static final int PAGE_ROWS = 100;
  private static final int MAX_WRITE_ATTEMPTS = 16;

  private final TableStore store;
  private final ConfigurationFormat format;
  private final InstantSource clock;
  private final Supplier<String> ids;

  private ConfigurationLog(
      TableStore store, ConfigurationFormat format, InstantSource clock, Supplier<String> ids) {
    this.store = store;
    this.format = format;
    this.clock = clock;
    this.ids = ids;
  }

  /**
   * Creates a log.
   *
   * @param store table service
   * @param format text format of the rows
   * @param clock clock for the expiry of plans
   * @param ids generator of random write ids
   */
  public static ConfigurationLog create(
      TableStore store, ConfigurationFormat format, InstantSource clock, Supplier<String> ids) {
    return new ConfigurationLog(store, format, clock, ids);
  }

  /** Reads all entries after a version, oldest first. */
  public CompletableFuture<List<LogEntry>> readAfter(long version) {
    return readPages(version, new ArrayList<>());
  }

  private CompletableFuture<List<LogEntry>> readPages(long version, List<LogEntry> entries) {
    return store
        .query(LOG_PARTITION, sortKey(version), PAGE_ROWS)
        .thenCompose(
            rows -> {
              for (Row row : rows) {
                entries.add(format.readEntry(row.body()));
              }
              if (rows.size() < PAGE_ROWS) {
                return CompletableFuture.completedFuture(entries);
              }
              return readPages(entries.get(entries.size() - 1).version(), entries);
            });
  }

  /** Reads the configuration at the head, from the latest snapshot and the entries after it. */
  public CompletableFuture<Configuration> readHead() {
    return store
        .get(SNAPSHOT_KEY)
        .thenApply(row -> row.map(r -> format.readConfiguration(r.body())))
        .thenApply(found -> found.orElse(Configuration.empty()))
        .thenCompose(base -> readAfter(base.version()).thenApply(entries -> replay(base, entries)));
  }

  /** Applies entries to the configuration that precedes them. */
  public static Configuration replay(Configuration base, List<LogEntry> entries) {
    Configuration next = base;
    for (LogEntry entry : entries) {
      if (entry.version() != next.version() + 1) {
        throw ServingException.of(
            ErrorKind.INTERNAL, "gap in the configuration log after version " + next.version());
      }
      next = Change.applyAll(next, entry.changes(), entry.version());
    }
    return next;
  }

  /**
   * Stores a snapshot, so that a new daemon reads fewer entries. A conflict or an unknown outcome
   * is harmless, because any snapshot and the entries after it result in the same head.
   */
  public CompletableFuture<WriteResult> writeSnapshot(Configuration configuration) {
    return store.get(SNAPSHOT_KEY).thenCompose(old -> replaceSnapshot(old, configuration));
  }

  private CompletableFuture<WriteResult> replaceSnapshot(
      Optional<Row> old, Configuration configuration) {
    if (old.isPresent()
        && format.readConfiguration(old.get().body()).version() >= configuration.version()) {
      return CompletableFuture.completedFuture(WriteResult.CONFLICT);
    }
    long version = old.map(Row::version).orElse(0L);
    Row row =
        new Row(SNAPSHOT_KEY, version + 1, ids.get(), format.writeConfiguration(configuration));
    Condition condition = version == 0 ? Condition.absent() : Condition.versionIs(version);
    return store.put(row, condition);
  }

  /** Stores a plan, so that any daemon can confirm it. */
  public CompletableFuture<Plan> savePlan(Plan plan) {
    Row row = new Row(new RowKey(PLAN_PARTITION, plan.id()), 1, plan.id(), format.writePlan(plan));
    return store.put(row, Condition.absent()).thenApply(result -> plan);
  }

  /** Reads a plan. */
  public CompletableFuture<Optional<Plan>> readPlan(String id) {
    return store
        .get(new RowKey(PLAN_PARTITION, id))
        .thenApply(row -> row.map(r -> format.readPlan(r.body())));
  }

  /**
   * Confirms a plan. Idempotent: confirming it again, at any daemon, returns the same entry.
   *
   * <p>A plan made from an older version is confirmed if no later entry conflicts with it. Fails
   * with {@code PLAN_CONFLICT} and the path that was changed, {@code PLAN_EXPIRED}, {@code
   * STORE_UNAVAILABLE} if it was certainly not confirmed, and {@code STORE_OUTCOME_UNKNOWN} if it
   * may have been confirmed or the write may still take effect; confirming it again resolves that.
   */
  public CompletableFuture<LogEntry> confirm(Plan plan, String operator) {
    return confirm(new Attempt(plan, operator));
  }

  private CompletableFuture<LogEntry> confirm(Attempt attempt) {
    return compose(
        readAfter(attempt.plan.baseVersion()),
        (entries, failure) -> {
          if (failure != null) {
            return CompletableFuture.failedFuture(attempt.failure(failure));
          }
          return confirmAfter(attempt, entries);
        });
  }

  private CompletableFuture<LogEntry> confirmAfter(Attempt attempt, List<LogEntry> entries) {
    Plan plan = attempt.plan;
    for (LogEntry entry : entries) {
      if (entry.planId().equals(plan.id())) {
        return CompletableFuture.completedFuture(entry);
      }
    }
    long version = plan.baseVersion() + entries.size() + 1;
    attempt.recordFreeVersion(version);
    for (LogEntry entry : entries) {
      Optional<String> path = entry.findConflict(plan);
      if (path.isPresent()) {
        return CompletableFuture.failedFuture(conflict(plan, entry, path.get()));
      }
    }
    long now = clock.millis();
    if (now > plan.expiresAtMillis() && !attempt.mayHaveBeenWritten()) {
      String detail = "plan " + plan.id() + " has expired; make a new one";
      return CompletableFuture.failedFuture(ServingException.of(ErrorKind.PLAN_EXPIRED, detail));
    }
    if (attempt.writes++ == MAX_WRITE_ATTEMPTS) {
      return CompletableFuture.failedFuture(
          attempt.failure(new IllegalStateException("contended")));
    }
    return write(attempt, new LogEntry(version, plan.id(), attempt.operator, now, plan.changes()));
  }

  private CompletableFuture<LogEntry> write(Attempt attempt, LogEntry entry) {
    RowKey key = new RowKey(LOG_PARTITION, sortKey(entry.version()));
    Row row = new Row(key, 1, entry.planId(), format.writeEntry(entry));
    return compose(
        store.put(row, Condition.absent()),
        (result, failure) -> {
          if (result == WriteResult.APPLIED) {
            return CompletableFuture.completedFuture(entry);
          }
          if (failure != null) {
            boolean unknown = kind(failure) != ErrorKind.STORE_UNAVAILABLE;
            attempt.recordFailedWrite(unknown, entry.version());
            if (!unknown || ++attempt.unknownOutcomes > Attempt.MAX_UNKNOWN_OUTCOMES) {
              return CompletableFuture.failedFuture(attempt.failure(failure));
            }
          }
          return confirm(attempt);
        });
  }

  private static ServingException conflict(Plan plan, LogEntry entry, String path) {
    return ServingException.of(
        ErrorKind.PLAN_CONFLICT,
        "plan was made from version %d; version %d, confirmed by %s, changed %s"
            .formatted(plan.baseVersion(), entry.version(), entry.operator(), path));
  }

  private static String sortKey(long version) {
    return "%019d".formatted(version);
  }

  private static ErrorKind kind(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof ServingException error ? error.kind() : ErrorKind.INTERNAL;
  }

  private static <T, U> CompletableFuture<U> compose(
      CompletableFuture<T> future, Continuation<T, U> continuation) {
    return future.handle(continuation::apply).thenCompose(result -> result);
  }

  /** Continues after a future that completed normally or exceptionally. */
  private interface Continuation<T, U> {
    CompletableFuture<U> apply(T result, Throwable failure);
  }

  /** State of one confirmation. Needs no lock, because its steps run sequentially. */
  private static final class Attempt {
    private static final int MAX_UNKNOWN_OUTCOMES = 3;

    private final Plan plan;
    private final String operator;
    private int writes;
    private int unknownOutcomes;
    private long unknownVersion;

    private Attempt(Plan plan, String operator) {
      this.plan = plan;
      this.operator = operator;
    }

    private void recordFailedWrite(boolean unknown, long version) {
      if (unknown) {
        unknownVersion = version;
      }
    }

    /** Records the first free version; an earlier write to a lower one has certainly failed. */
    private void recordFreeVersion(long version) {
      if (unknownVersion < version) {
        unknownVersion = 0;
      }
    }

    private boolean mayHaveBeenWritten() {
      return unknownVersion > 0;
    }

    private ServingException failure(Throwable cause) {
      if (mayHaveBeenWritten()) {
        return ServingException.of(
            ErrorKind.STORE_OUTCOME_UNKNOWN,
            "plan "
                + plan.id()
                + " may have been confirmed; confirm it again to resolve its outcome",
            cause);
      }
      return ServingException.of(
          ErrorKind.STORE_UNAVAILABLE, "plan " + plan.id() + " was not confirmed", cause);
    }
  }
}
