package org.heatherspread.core.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A copy of a shared table that answers which rows changed after a version, for others that follow
 * the table through this daemon.
 *
 * <p>Invariant: an answer lists every row whose newest version is later than the one asked for,
 * dropped rows included; where that is not known, there is no answer. Confined to one thread.
 */
public final class TableMirror {
  /** Dropped rows that are remembered; a follower that is further behind reads the whole table. */
  private static final int MAX_DROPPED = 1_000;

  private final Map<String, SharedRow> rows = new HashMap<>();
  private final Map<String, SharedRow> dropped = new HashMap<>();
  private boolean known;
  private long completeAfter;
  private long version;

  private TableMirror() {}

  /** Creates a mirror that knows nothing. */
  public static TableMirror create() {
    return new TableMirror();
  }

  /** Takes in the whole table. */
  public void replaceAll(SharedReadResult reading) {
    if (!known) {
      known = true;
      completeAfter = reading.version();
    }
    Set<String> present = new HashSet<>();
    for (SharedRow row : reading.rows()) {
      present.add(row.key());
    }
    for (String key : List.copyOf(rows.keySet())) {
      if (!present.contains(key)) {
        drop(new SharedRow(key, new byte[0], reading.version(), true));
      }
    }
    applyChanges(reading);
  }

  /** Takes in rows that changed. */
  public void applyChanges(SharedReadResult reading) {
    for (SharedRow row : reading.rows()) {
      if (row.deleted()) {
        drop(row);
      } else {
        dropped.remove(row.key());
        rows.put(row.key(), row);
      }
    }
    version = Math.max(version, reading.version());
  }

  private void drop(SharedRow row) {
    rows.remove(row.key());
    dropped.put(row.key(), row);
    if (dropped.size() > MAX_DROPPED) {
      forgetDropped();
    }
  }

  private void forgetDropped() {
    for (SharedRow row : dropped.values()) {
      completeAfter = Math.max(completeAfter, row.version());
    }
    dropped.clear();
  }

  /** Returns the newest transaction that is covered. */
  public long version() {
    return version;
  }

  /** Returns the rows that changed after a version; empty where not all of them are known. */
  public Optional<List<SharedRow>> changesAfter(long after) {
    if (!known || after < completeAfter) {
      return Optional.empty();
    }
    List<SharedRow> changes = new ArrayList<>();
    addLater(changes, rows, after);
    addLater(changes, dropped, after);
    return Optional.of(changes);
  }

  private static void addLater(List<SharedRow> found, Map<String, SharedRow> rows, long after) {
    for (SharedRow row : rows.values()) {
      if (row.version() > after) {
        found.add(row);
      }
    }
  }
}
