package org.heatherspread.core.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A copy of a shared table that returns the rows changed after a version, for daemons that follow
 * the table through this one.
 *
 * <p>Invariant: a result contains every row whose newest version is later than the requested one,
 * including deleted rows; if this cannot be ensured, as after a restore of the store, there is no
 * result. Confined to one thread.
 */
public final class TableMirror {
  /** Deleted rows kept; a follower that needs more of them must read the whole table. */
  private static final int MAX_DELETED_ROWS = 1_000;

  private final Map<String, SharedRow> rows = new HashMap<>();
  private final Map<String, SharedRow> deletedRows = new HashMap<>();
  private boolean initialized;
  private long completeAfterVersion;
  private StorePosition position = new StorePosition(0, 0);

  private TableMirror() {}

  /** Creates an empty mirror, which has no results until {@link #replaceAll}. */
  public static TableMirror create() {
    return new TableMirror();
  }

  /** Replaces the content by a read of the whole table. */
  public void replaceAll(SharedReadResult result) {
    boolean restored = result.position().era() != position.era();
    if (!initialized || restored) {
      initialized = true;
      completeAfterVersion = result.version();
      position = result.position();
      rows.clear();
      deletedRows.clear();
    }
    Set<String> presentKeys = new HashSet<>();
    for (SharedRow row : result.rows()) {
      presentKeys.add(row.key());
    }
    for (String key : List.copyOf(rows.keySet())) {
      if (!presentKeys.contains(key)) {
        delete(new SharedRow(key, new byte[0], result.version(), true));
      }
    }
    applyChanges(result);
  }

  /** Applies rows that changed. */
  public void applyChanges(SharedReadResult result) {
    for (SharedRow row : result.rows()) {
      if (row.deleted()) {
        delete(row);
      } else {
        deletedRows.remove(row.key());
        rows.put(row.key(), row);
      }
    }
    if (result.version() > position.version()) {
      position = result.position();
    }
  }

  private void delete(SharedRow row) {
    rows.remove(row.key());
    deletedRows.put(row.key(), row);
    if (deletedRows.size() > MAX_DELETED_ROWS) {
      discardDeletedRows();
    }
  }

  private void discardDeletedRows() {
    for (SharedRow row : deletedRows.values()) {
      completeAfterVersion = Math.max(completeAfterVersion, row.version());
    }
    deletedRows.clear();
  }

  /** Returns the newest transaction that the mirror covers. */
  public StorePosition position() {
    return position;
  }

  /** Returns the rows that changed after a position; empty if not all of them are known. */
  public Optional<List<SharedRow>> changesAfter(StorePosition after) {
    if (!initialized || after.era() != position.era() || after.version() < completeAfterVersion) {
      return Optional.empty();
    }
    List<SharedRow> changes = new ArrayList<>();
    addChangedAfter(changes, rows, after.version());
    addChangedAfter(changes, deletedRows, after.version());
    return Optional.of(changes);
  }

  private static void addChangedAfter(
      List<SharedRow> found, Map<String, SharedRow> rows, long afterVersion) {
    for (SharedRow row : rows.values()) {
      if (row.version() > afterVersion) {
        found.add(row);
      }
    }
  }
}
