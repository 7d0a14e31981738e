package org.heatherspread.node.peer;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.heatherspread.core.freshness.StoreFreshness;
import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.core.store.SharedRow;
import org.heatherspread.core.store.StorePosition;
import org.heatherspread.core.store.TableMirror;

/**
 * Copy of a shared table from which the other daemons of the failure domain read changes by long
 * polling: a request is answered when rows have changed or its wait is over. Confined to the event
 * loop.
 */
public final class MirroredTable {
  private final EventLoop loop;
  private final StoreFreshness freshness;
  private final TableMirror mirror = TableMirror.create();
  private final List<PendingRequest> pendingRequests = new ArrayList<>();
  private boolean reachable;

  /**
   * Creates an empty mirror.
   *
   * @param freshness updated by each read of the table
   */
  public MirroredTable(EventLoop loop, StoreFreshness freshness) {
    this.loop = loop;
    this.freshness = freshness;
  }

  /** Replaces all rows. */
  public void replaceAll(SharedReadResult result) {
    mirror.replaceAll(result);
    completeDue();
  }

  /** Applies changed rows. */
  public void applyChanges(SharedReadResult result) {
    mirror.applyChanges(result);
    completeDue();
  }

  private void completeDue() {
    reachable = true;
    List<PendingRequest> due = new ArrayList<>();
    for (PendingRequest request : pendingRequests) {
      Optional<List<SharedRow>> changes = mirror.changesAfter(request.after);
      if (changes.isEmpty() || !changes.get().isEmpty()) {
        due.add(request);
      }
    }
    due.forEach(PendingRequest::complete);
  }

  /** Records that the store cannot be read, and completes all pending requests accordingly. */
  public void markUnreachable() {
    reachable = false;
    List.copyOf(pendingRequests).forEach(PendingRequest::complete);
  }

  /** The result of a request for changes. */
  sealed interface ChangesResult {}

  /** This daemon cannot read the store. */
  record Unreachable() implements ChangesResult {}

  /** The mirror does not have all changes after the requested position. */
  record HistoryLost() implements ChangesResult {}

  /** The changes, which may be none. */
  record Changes(SharedReadResult result) implements ChangesResult {}

  /**
   * Passes the changes after a position to a callback: at once if there are any or they cannot be
   * returned, otherwise when rows change, the store becomes unreachable or the wait is over. The
   * callback is called exactly once.
   */
  void awaitChanges(StorePosition after, long waitMillis, Consumer<ChangesResult> callback) {
    ChangesResult result = currentResult(after);
    boolean empty = result instanceof Changes changes && changes.result.rows().isEmpty();
    if (!empty || waitMillis <= 0) {
      callback.accept(result);
      return;
    }
    PendingRequest request = new PendingRequest(after, callback);
    pendingRequests.add(request);
    loop.schedule(request::complete, waitMillis, TimeUnit.MILLISECONDS);
  }

  private ChangesResult currentResult(StorePosition after) {
    if (!reachable) {
      return new Unreachable();
    }
    Optional<List<SharedRow>> changes = mirror.changesAfter(after);
    if (changes.isEmpty()) {
      return new HistoryLost();
    }
    return new Changes(
        new SharedReadResult(
            changes.get(), mirror.position(), freshness.storeMillis(), freshness.ageMillis()));
  }

  /** A request that waits for changes; completes at most once. */
  private final class PendingRequest {
    private final StorePosition after;
    private final Consumer<ChangesResult> callback;

    private PendingRequest(StorePosition after, Consumer<ChangesResult> callback) {
      this.after = after;
      this.callback = callback;
    }

    private void complete() {
      if (pendingRequests.remove(this)) {
        callback.accept(currentResult(after));
      }
    }
  }
}
