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
 * Acquires, renews and releases one lease for one daemon. Does not rely on synchronized clocks: the
 * holder measures the validity of a renewal from before it sent the write, and other daemons
 * measure it from when they first observed the row in its current version.
 *
 * <p>Invariants: the epoch in the row never decreases, and increases with each change of holder;
 * {@link #fencingToken} is present only until the last renewal, measured from before it was sent,
 * expires less the margin. After a longer pause of the process it is empty until the row has been
 * read or written again. A write without an answer extends the lease only once the row has been
 * read back. After a restore of the store, which may have lost a change of holder, nobody continues
 * a lease: it is taken over as if its holder had stopped, with an epoch that no holder can have had
 * before. Thread-safe.
 */
public final class LeaseClient {
  private static final String PARTITION = "lease";

  /** Epochs for each era of the store, more than there are changes of holder in an era. */
  private static final long EPOCHS_PER_ERA = 1_000;

  private final String name;
  private final String self;
  private final LeaseSettings settings;
  private final TableStore store;
  private final MonotonicClock clock;
  private final Supplier<String> writeIds;
  private Row observedRow;
  private long observedEra;
  private long observedSinceMillis;
  private long nextStepMillis;
  private boolean stepInProgress;
  private OptionalLong heldEpoch = OptionalLong.empty();
  private long validUntilMillis;
  private long acquiredMillis;

  private LeaseClient(
      String name,
      String self,
      LeaseSettings settings,
      TableStore store,
      MonotonicClock clock,
      Supplier<String> writeIds) {
    this.name = name;
    this.self = self;
    this.settings = settings;
    this.store = store;
    this.clock = clock;
    this.writeIds = writeIds;
  }

  /**
   * Creates a client that does not hold the lease.
   *
   * @param name name of the lease
   * @param self id and incarnation of this daemon
   * @param writeIds supplies a new random write id with each call
   */
  public static LeaseClient create(
      String name,
      String self,
      LeaseSettings settings,
      TableStore store,
      MonotonicClock clock,
      Supplier<String> writeIds) {
    return new LeaseClient(name, self, settings, store, clock, writeIds);
  }

  /**
   * Returns the fencing token while the lease is certainly held, else empty. The token may be used
   * only for calls made at once; callers read it anew before each call.
   */
  public synchronized OptionalLong fencingToken() {
    boolean valid = heldEpoch.isPresent() && clock.millis() < validUntilMillis;
    return valid ? heldEpoch : OptionalLong.empty();
  }

  /**
   * Returns the time on the monotonic clock at which this daemon acquired the lease in its current
   * epoch.
   */
  public synchronized long acquiredMillis() {
    return acquiredMillis;
  }

  /**
   * Does what is due: renews the lease, reads the row, or takes over an expired lease. Returns at
   * once if nothing is due or another step is in progress.
   *
   * @param rank rank of this daemon among the candidates, 0 for the first; candidates of higher
   *     rank wait longer before they take over
   * @return completes normally when the step ends, also if the store failed
   */
  public CompletableFuture<Void> step(int rank) {
    synchronized (this) {
      if (stepInProgress || clock.millis() < nextStepMillis) {
        return CompletableFuture.completedFuture(null);
      }
      stepInProgress = true;
    }
    return runStep(rank)
        .handle(
            (result, failure) -> {
              completeStep(failure);
              return null;
            });
  }

  private synchronized void completeStep(Throwable failure) {
    stepInProgress = false;
    boolean held = heldEpoch.isPresent();
    long interval = (held ? settings.renewInterval() : settings.standbyInterval()).toMillis();
    nextStepMillis = clock.millis() + interval;
    if (failure != null && held) {
      // The renewal may or may not have taken effect; read the row before the next one.
      observedRow = null;
    }
  }

  private CompletableFuture<Void> runStep(int rank) {
    Row row;
    boolean expired;
    synchronized (this) {
      if (heldEpoch.isPresent() && isFromEarlierEra(heldEpoch.getAsLong())) {
        clearHold();
      }
      row = observedRow;
      expired = heldEpoch.isPresent() && clock.millis() >= validUntilMillis;
    }
    if (row == null || expired || !isHeldRow(row)) {
      return store.get(key()).thenCompose(found -> afterRead(found, rank));
    }
    return write(row, LeaseRecord.parse(row.body()));
  }

  private CompletableFuture<Void> afterRead(Optional<Row> found, int rank) {
    if (found.isEmpty()) {
      return rank == 0 ? write(null, new LeaseRecord(self, firstEpoch())) : completed();
    }
    Row row = found.get();
    observe(row);
    LeaseRecord lease = LeaseRecord.parse(row.body());
    if (lease.holder().equals(self) && !isFromEarlierEra(lease.epoch())) {
      return write(row, lease);
    }
    clearHold();
    if (!mayTakeOver(lease, rank)) {
      return completed();
    }
    return write(row, new LeaseRecord(self, Math.max(firstEpoch(), lease.epoch() + 1)));
  }

  private long firstEpoch() {
    return store.era() * EPOCHS_PER_ERA + 1;
  }

  private boolean isFromEarlierEra(long epoch) {
    return epoch < firstEpoch();
  }

  private synchronized void observe(Row row) {
    boolean unchanged =
        observedRow != null
            && observedEra == store.era()
            && observedRow.writeId().equals(row.writeId());
    if (!unchanged) {
      observedRow = row;
      observedEra = store.era();
      observedSinceMillis = clock.millis();
    }
  }

  private synchronized boolean mayTakeOver(LeaseRecord lease, int rank) {
    if (lease.holder().isEmpty() && !isFromEarlierEra(lease.epoch())) {
      return rank == 0 || rowUnchangedMillis() >= rank * settings.duration().toMillis();
    }
    long expiryMillis = settings.duration().plus(settings.margin()).toMillis();
    return rowUnchangedMillis() >= expiryMillis + rank * settings.duration().toMillis();
  }

  private long rowUnchangedMillis() {
    return clock.millis() - observedSinceMillis;
  }

  private CompletableFuture<Void> write(Row old, LeaseRecord lease) {
    long version = old == null ? 1 : old.version() + 1;
    Row next = new Row(key(), version, writeIds.get(), lease.toJson());
    Condition condition = old == null ? Condition.absent() : Condition.versionIs(old.version());
    long sentMillis = clock.millis();
    return store
        .put(next, condition)
        .thenAccept(result -> onWritten(result, next, lease, sentMillis));
  }

  private synchronized void onWritten(
      WriteResult result, Row row, LeaseRecord lease, long sentMillis) {
    if (result == WriteResult.CONFLICT) {
      // Another daemon holds the lease, or an earlier write of this daemon arrived late; read the
      // row before the next write.
      observedRow = null;
      clearHold();
      return;
    }
    observe(row);
    if (lease.holder().isEmpty()) {
      clearHold();
      return;
    }
    if (heldEpoch.isEmpty() || heldEpoch.getAsLong() != lease.epoch()) {
      acquiredMillis = clock.millis();
    }
    heldEpoch = OptionalLong.of(lease.epoch());
    long validMillis = settings.duration().minus(settings.margin()).toMillis();
    validUntilMillis = Math.max(validUntilMillis, sentMillis + validMillis);
  }

  private synchronized void clearHold() {
    heldEpoch = OptionalLong.empty();
    validUntilMillis = 0;
  }

  private synchronized boolean isHeldRow(Row row) {
    return heldEpoch.isPresent() && LeaseRecord.parse(row.body()).holder().equals(self);
  }

  /**
   * Discards the local view of the lease, so that the next step reads the row; called when an
   * endpoint rejected the fencing token or the process was paused.
   */
  public synchronized void invalidate() {
    observedRow = null;
    clearHold();
    nextStepMillis = 0;
  }

  /** Releases the lease, so that another daemon can acquire it at once. */
  public CompletableFuture<Void> release() {
    Row row;
    synchronized (this) {
      row = observedRow;
      if (row == null || !isHeldRow(row)) {
        return completed();
      }
      clearHold();
    }
    return write(row, new LeaseRecord("", LeaseRecord.parse(row.body()).epoch()));
  }

  private RowKey key() {
    return new RowKey(PARTITION, name);
  }

  private static CompletableFuture<Void> completed() {
    return CompletableFuture.completedFuture(null);
  }
}
