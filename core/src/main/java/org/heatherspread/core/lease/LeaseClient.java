package org.heatherspread.core.lease;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.heatherspread.core.store.Condition;
import org.heatherspread.core.store.Row;
import org.heatherspread.core.store.RowKey;
import org.heatherspread.core.store.TableStore;
import org.heatherspread.core.store.WriteResult;
import org.heatherspread.core.time.MonotonicClock;

/**
 * One daemon's part in one lease. No clock is shared: the holder counts from before it sent its
 * renewal, and the others from when they first saw the row as it is.
 *
 * <p>Invariants: the epoch in the row never goes down and grows with each change of holder; {@link
 * #fencing} is present only while the renewal, counted from before it was sent, holds with margin.
 * After a pause longer than that it is empty until the row has been read or written again. A write
 * whose answer was lost extends nothing until the row is read back. Safe for use by any thread.
 */
public final class LeaseClient {
  private static final String PARTITION = "lease";

  private final String name;
  private final String self;
  private final LeaseSettings settings;
  private final TableStore store;
  private final MonotonicClock clock;
  private final Supplier<String> ids;
  private Row seen;
  private long seenSinceMillis;
  private long nextStepMillis;
  private boolean busy;
  private OptionalLong heldEpoch = OptionalLong.empty();
  private long validUntilMillis;
  private long acquiredMillis;

  private LeaseClient(
      String name,
      String self,
      LeaseSettings settings,
      TableStore store,
      MonotonicClock clock,
      Supplier<String> ids) {
    this.name = name;
    this.self = self;
    this.settings = settings;
    this.store = store;
    this.clock = clock;
    this.ids = ids;
  }

  /**
   * Creates a keeper that holds nothing.
   *
   * @param name the lease's name
   * @param self id and incarnation of this daemon
   * @param ids gives a new random write id with each call
   */
  public static LeaseClient create(
      String name,
      String self,
      LeaseSettings settings,
      TableStore store,
      MonotonicClock clock,
      Supplier<String> ids) {
    return new LeaseClient(name, self, settings, store, clock, ids);
  }

  // ---------------------------------------------------------------------------------------------
  // Results
  // ---------------------------------------------------------------------------------------------

  /** Returns the fencing number while the lease is certainly held; ask before each order. */
  public synchronized OptionalLong fencingToken() {
    boolean valid = heldEpoch.isPresent() && clock.millis() < validUntilMillis;
    return valid ? heldEpoch : OptionalLong.empty();
  }

  /** Returns when this daemon got the lease in its current epoch, on the monotonic clock. */
  public synchronized long acquiredMillis() {
    return acquiredMillis;
  }

  // ---------------------------------------------------------------------------------------------
  // Steps
  // ---------------------------------------------------------------------------------------------

  /**
   * Does what is due: renews, reads back, or takes over a lease that lapsed.
   *
   * @param rank this daemon's place among the candidates, 0 for the first; later ones wait longer
   * @return completes when the step is done, also where the store failed
   */
  public CompletableFuture<Void> step(int rank) {
    synchronized (this) {
      if (busy || clock.millis() < nextStepMillis) {
        return CompletableFuture.completedFuture(null);
      }
      busy = true;
    }
    return act(rank)
        .handle(
            (result, failure) -> {
              stepped(failure);
              return null;
            });
  }

  private synchronized void stepped(Throwable failure) {
    busy = false;
    boolean holds = heldEpoch.isPresent();
    long interval = (holds ? settings.renewInterval() : settings.standbyInterval()).toMillis();
    nextStepMillis = clock.millis() + interval;
    if (failure != null && holds) {
      // A renewal may or may not have taken effect: read it back before the next one.
      seen = null;
    }
  }

  private CompletableFuture<Void> act(int rank) {
    Row row;
    boolean lapsed;
    synchronized (this) {
      row = seen;
      lapsed = heldEpoch.isPresent() && clock.millis() >= validUntilMillis;
    }
    if (row == null || lapsed || !isOwn(row)) {
      return store.get(key()).thenCompose(found -> afterRead(found, rank));
    }
    return write(row, LeaseRecord.parse(row.body()));
  }

  private CompletableFuture<Void> afterRead(Optional<Row> found, int rank) {
    if (found.isEmpty()) {
      return rank == 0 ? write(null, new LeaseRecord(self, 1)) : done();
    }
    Row row = found.get();
    see(row);
    LeaseRecord body = LeaseRecord.parse(row.body());
    if (body.holder().equals(self)) {
      return write(row, body);
    }
    dropHold();
    if (!mayTakeOver(body, rank)) {
      return done();
    }
    return write(row, new LeaseRecord(self, body.epoch() + 1));
  }

  private synchronized void see(Row row) {
    boolean same = seen != null && seen.writeId().equals(row.writeId());
    if (!same) {
      seen = row;
      seenSinceMillis = clock.millis();
    }
  }

  private synchronized boolean mayTakeOver(LeaseRecord body, int rank) {
    if (body.holder().isEmpty()) {
      return rank == 0 || unchangedMillis() >= rank * settings.duration().toMillis();
    }
    long wait = settings.duration().plus(settings.margin()).toMillis();
    return unchangedMillis() >= wait + rank * settings.duration().toMillis();
  }

  private long unchangedMillis() {
    return clock.millis() - seenSinceMillis;
  }

  private CompletableFuture<Void> write(Row old, LeaseRecord body) {
    long version = old == null ? 1 : old.version() + 1;
    Row next = new Row(key(), version, ids.get(), body.toJson());
    Condition condition = old == null ? Condition.absent() : Condition.versionIs(old.version());
    long sentMillis = clock.millis();
    return store.put(next, condition).thenAccept(result -> written(result, next, body, sentMillis));
  }

  private synchronized void written(
      WriteResult result, Row row, LeaseRecord body, long sentMillis) {
    if (result == WriteResult.CONFLICT) {
      // Another holds it now, or an earlier write of this daemon arrived late: read before acting.
      seen = null;
      dropHold();
      return;
    }
    see(row);
    if (body.holder().isEmpty()) {
      dropHold();
      return;
    }
    if (heldEpoch.isEmpty() || heldEpoch.getAsLong() != body.epoch()) {
      acquiredMillis = clock.millis();
    }
    heldEpoch = OptionalLong.of(body.epoch());
    long holds = settings.duration().minus(settings.margin()).toMillis();
    validUntilMillis = Math.max(validUntilMillis, sentMillis + holds);
  }

  private synchronized void dropHold() {
    heldEpoch = OptionalLong.empty();
    validUntilMillis = 0;
  }

  private synchronized boolean isOwn(Row row) {
    return heldEpoch.isPresent() && LeaseRecord.parse(row.body()).holder().equals(self);
  }

  /** Forgets what is believed, so that the next step reads the row; after a refused order. */
  public synchronized void invalidate() {
    seen = null;
    dropHold();
    nextStepMillis = 0;
  }

  /** Gives the lease up, so that another can take it at once. */
  public CompletableFuture<Void> release() {
    Row row;
    synchronized (this) {
      row = seen;
      if (row == null || !isOwn(row)) {
        return done();
      }
      dropHold();
    }
    return write(row, new LeaseRecord("", LeaseRecord.parse(row.body()).epoch()));
  }

  private RowKey key() {
    return new RowKey(PARTITION, name);
  }

  private static CompletableFuture<Void> done() {
    return CompletableFuture.completedFuture(null);
  }
}
