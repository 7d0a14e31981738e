package org.heatherspread.node.peer;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.heatherspread.core.freshness.StoreFreshness;
import org.heatherspread.core.store.SharedReading;
import org.heatherspread.core.store.SharedRow;
import org.heatherspread.core.store.TableMirror;

/**
 * One table as this daemon follows it, for the daemons of its failure domain. Questions wait until
 * there is a change or their time is over. Confined to the event loop.
 */
public final class MirroredTable {
  private final EventLoop loop;
  private final StoreFreshness contact;
  private final TableMirror mirror = TableMirror.create();
  private final List<Waiting> waiting = new ArrayList<>();
  private boolean reachable;

  /** Creates a mirror of the table whose readings a contact has taken in. */
  public MirroredTable(EventLoop loop, StoreFreshness contact) {
    this.loop = loop;
    this.contact = contact;
  }

  /** Takes in the whole table. */
  public void replaceAll(SharedReading reading) {
    mirror.whole(reading);
    heard();
  }

  /** Takes in changes. */
  public void applyChanges(SharedReading reading) {
    mirror.changed(reading);
    heard();
  }

  private void heard() {
    reachable = true;
    List<Waiting> due = new ArrayList<>();
    for (Waiting each : waiting) {
      Optional<List<SharedRow>> changes = mirror.changes(each.after);
      if (changes.isEmpty() || !changes.get().isEmpty()) {
        due.add(each);
      }
    }
    due.forEach(Waiting::end);
  }

  /** Notes that the store cannot be read; those that wait are told so. */
  public void markUnreachable() {
    reachable = false;
    List.copyOf(waiting).forEach(Waiting::end);
  }

  /** The answer to a question. */
  sealed interface ChangesResult {}

  /** The store cannot be read here. */
  record Unreachable() implements ChangesResult {}

  /** Not all changes after the version asked for are known. */
  record HistoryLost() implements ChangesResult {}

  /** The changes, perhaps none. */
  record Changes(SharedReading reading) implements ChangesResult {}

  /** Answers when rows have changed after a version, or after the wait. */
  void awaitChanges(long after, long waitMillis, Consumer<ChangesResult> then) {
    ChangesResult now = answer(after);
    boolean nothing = now instanceof Changes found && found.reading.rows().isEmpty();
    if (!nothing || waitMillis <= 0) {
      then.accept(now);
      return;
    }
    Waiting question = new Waiting(after, then);
    waiting.add(question);
    loop.schedule(question::end, waitMillis, TimeUnit.MILLISECONDS);
  }

  private ChangesResult answer(long after) {
    if (!reachable) {
      return new Unreachable();
    }
    Optional<List<SharedRow>> changes = mirror.changes(after);
    if (changes.isEmpty()) {
      return new HistoryLost();
    }
    return new Changes(
        new SharedReading(
            changes.get(), mirror.version(), contact.storeMillis(), contact.ageMillis()));
  }

  /** A question that is held; ends once. */
  private final class Waiting {
    private final long after;
    private final Consumer<ChangesResult> then;

    private Waiting(long after, Consumer<ChangesResult> then) {
      this.after = after;
      this.then = then;
    }

    private void end() {
      if (waiting.remove(this)) {
        then.accept(answer(after));
      }
    }
  }
}
