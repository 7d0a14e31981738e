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
 * The log of confirmed configurations in the table service, one row for each version. The highest
 * row is the head: writing the row after it under the condition that it is absent is the
 * compare-and-set on the head, in one write that cannot be left half done.
 *
 * <p>Invariants: versions have no gaps; a plan stands in the log at most once, since its id is the
 * row's write id and every writer reads the log from the plan's base up to the head before it
 * writes. Immutable and safe for use by any thread.
 */
public final class ConfigurationLog {
  private static final String LOG = "config-log";
  private static final RowKey SNAPSHOT = new RowKey("config-snapshot", "latest");
  private static final String PLAN = "plan";
  private static final int PAGE_ROWS = 100;
  private static final int MAX_WRITES = 16;

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
   * @param clock tells when plans expire
   * @param ids gives a new random id with each call
   */
  public static ConfigurationLog create(
      TableStore store, ConfigurationFormat format, InstantSource clock, Supplier<String> ids) {
    return new ConfigurationLog(store, format, clock, ids);
  }

  // ---------------------------------------------------------------------------------------------
  // Reading
  // ---------------------------------------------------------------------------------------------

  /** Reads all entries after a version, oldest first. */
  public CompletableFuture<List<LogEntry>> readAfter(long version) {
    return readPages(version, new ArrayList<>());
  }

  private CompletableFuture<List<LogEntry>> readPages(long version, List<LogEntry> found) {
    return store
        .query(LOG, sortKey(version), PAGE_ROWS)
        .thenCompose(
            rows -> {
              for (Row row : rows) {
                found.add(format.readEntry(row.body()));
              }
              if (rows.size() < PAGE_ROWS) {
                return CompletableFuture.completedFuture(found);
              }
              return readPages(found.get(found.size() - 1).version(), found);
            });
  }

  /** Reads the whole configuration at the head: the latest snapshot and the entries after it. */
  public CompletableFuture<Configuration> readHead() {
    return store
        .get(SNAPSHOT)
        .thenApply(row -> row.map(r -> format.readConfiguration(r.body())))
        .thenApply(found -> found.orElse(Configuration.empty()))
        .thenCompose(base -> readAfter(base.version()).thenApply(tail -> replay(base, tail)));
  }

  /** Applies entries to the configuration that they follow. */
  public static Configuration replay(Configuration base, List<LogEntry> entries) {
    Configuration next = base;
    for (LogEntry entry : entries) {
      if (entry.version() != next.version() + 1) {
        throw ServingException.of(ErrorKind.INTERNAL, "gap in the log after " + next.version());
      }
      next = Change.applyAll(next, entry.changes(), entry.version());
    }
    return next;
  }

  /**
   * Keeps a snapshot, so that a fresh daemon reads less. A lost race or answer does no harm: any
   * snapshot and the entries after it give the same head.
   */
  public CompletableFuture<WriteResult> writeSnapshot(Configuration configuration) {
    return store.get(SNAPSHOT).thenCompose(old -> replaceSnapshot(old, configuration));
  }

  private CompletableFuture<WriteResult> replaceSnapshot(
      Optional<Row> old, Configuration configuration) {
    if (old.isPresent()
        && format.readConfiguration(old.get().body()).version() >= configuration.version()) {
      return CompletableFuture.completedFuture(WriteResult.CONFLICT);
    }
    long version = old.map(Row::version).orElse(0L);
    Row row = new Row(SNAPSHOT, version + 1, ids.get(), format.writeConfiguration(configuration));
    Condition condition = version == 0 ? Condition.absent() : Condition.versionIs(version);
    return store.put(row, condition);
  }

  // ---------------------------------------------------------------------------------------------
  // Plans
  // ---------------------------------------------------------------------------------------------

  /** Keeps a plan, so that any daemon can confirm it. */
  public CompletableFuture<Plan> savePlan(Plan plan) {
    Row row = new Row(new RowKey(PLAN, plan.id()), 1, plan.id(), format.writePlan(plan));
    return store.put(row, Condition.absent()).thenApply(result -> plan);
  }

  /** Reads a plan. */
  public CompletableFuture<Optional<Plan>> readPlan(String id) {
    return store
        .get(new RowKey(PLAN, id))
        .thenApply(row -> row.map(r -> format.readPlan(r.body())));
  }

  // ---------------------------------------------------------------------------------------------
  // Confirming
  // ---------------------------------------------------------------------------------------------

  /**
   * Confirms a plan; confirming it again, here or at another daemon, gives the same entry.
   *
   * <p>A plan made from an older version is confirmed if nothing since then conflicts with it.
   * Fails with {@code PLAN_CONFLICT} naming what changed, {@code PLAN_EXPIRED}, {@code
   * STORE_UNAVAILABLE} where it certainly was not confirmed, and {@code STORE_OUTCOME_UNKNOWN}
   * where it may have been or may yet be; asking again resolves that.
   */
  public CompletableFuture<LogEntry> confirm(Plan plan, String operator) {
    return confirm(new Attempt(plan, operator));
  }

  private CompletableFuture<LogEntry> confirm(Attempt attempt) {
    return compose(
        readAfter(attempt.plan.baseVersion()),
        (tail, failure) -> {
          if (failure != null) {
            return CompletableFuture.failedFuture(attempt.failure(failure));
          }
          return confirmAfter(attempt, tail);
        });
  }

  private CompletableFuture<LogEntry> confirmAfter(Attempt attempt, List<LogEntry> tail) {
    Plan plan = attempt.plan;
    for (LogEntry entry : tail) {
      if (entry.planId().equals(plan.id())) {
        return CompletableFuture.completedFuture(entry);
      }
    }
    long version = plan.baseVersion() + tail.size() + 1;
    attempt.lookedAt(version);
    for (LogEntry entry : tail) {
      Optional<String> path = entry.findConflict(plan);
      if (path.isPresent()) {
        return CompletableFuture.failedFuture(conflict(plan, entry, path.get()));
      }
    }
    long now = clock.millis();
    if (now > plan.expiresAtMillis() && !attempt.mayBeWritten()) {
      String detail = "plan " + plan.id() + " has expired; make a new one";
      return CompletableFuture.failedFuture(ServingException.of(ErrorKind.PLAN_EXPIRED, detail));
    }
    if (attempt.writes++ == MAX_WRITES) {
      return CompletableFuture.failedFuture(
          attempt.failure(new IllegalStateException("contended")));
    }
    return write(attempt, new LogEntry(version, plan.id(), attempt.operator, now, plan.changes()));
  }

  private CompletableFuture<LogEntry> write(Attempt attempt, LogEntry entry) {
    RowKey key = new RowKey(LOG, sortKey(entry.version()));
    Row row = new Row(key, 1, entry.planId(), format.writeEntry(entry));
    return compose(
        store.put(row, Condition.absent()),
        (result, failure) -> {
          if (result == WriteResult.APPLIED) {
            return CompletableFuture.completedFuture(entry);
          }
          if (failure != null) {
            boolean unknown = kind(failure) != ErrorKind.STORE_UNAVAILABLE;
            attempt.failed(unknown, entry.version());
            if (!unknown || ++attempt.unknowns > Attempt.MAX_UNKNOWNS) {
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

  // ---------------------------------------------------------------------------------------------
  // Helpers
  // ---------------------------------------------------------------------------------------------

  private static String sortKey(long version) {
    return "%019d".formatted(version);
  }

  private static ErrorKind kind(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof ServingException error ? error.kind() : ErrorKind.INTERNAL;
  }

  private static <T, U> CompletableFuture<U> compose(CompletableFuture<T> future, Next<T, U> next) {
    return future.handle(next::after).thenCompose(result -> result);
  }

  /** What follows a future, whether it failed or not. */
  private interface Next<T, U> {
    CompletableFuture<U> after(T result, Throwable failure);
  }

  /** The state of one confirmation; its steps follow one another, so it needs no lock. */
  private static final class Attempt {
    private static final int MAX_UNKNOWNS = 3;

    private final Plan plan;
    private final String operator;
    private int writes;
    private int unknowns;
    private long unknownAt;

    private Attempt(Plan plan, String operator) {
      this.plan = plan;
      this.operator = operator;
    }

    private void failed(boolean unknown, long version) {
      if (unknown) {
        unknownAt = version;
      }
    }

    /** Notes the first free version; a write that was for a lower one certainly lost. */
    private void lookedAt(long version) {
      if (unknownAt < version) {
        unknownAt = 0;
      }
    }

    private boolean mayBeWritten() {
      return unknownAt > 0;
    }

    private ServingException failure(Throwable cause) {
      if (mayBeWritten()) {
        return ServingException.of(
            ErrorKind.STORE_OUTCOME_UNKNOWN,
            "plan " + plan.id() + " may have been confirmed; confirm it again to find out",
            cause);
      }
      return ServingException.of(
          ErrorKind.STORE_UNAVAILABLE, "plan " + plan.id() + " was not confirmed", cause);
    }
  }
}
