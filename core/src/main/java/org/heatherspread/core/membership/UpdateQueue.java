package org.heatherspread.core.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.heatherspread.core.config.CurrentConfiguration;
import org.heatherspread.core.config.LogEntry;

/**
 * Queues the updates that a daemon has yet to push to its peers and limits the bytes pushed.
 * Configuration is sent first, then the health of instances, then shared entries. A later update
 * replaces a queued one of the same key.
 *
 * <p>Not thread-safe.
 */
final class UpdateQueue {
  private static final int RECORD_BYTES = 48;
  private static final int DESCRIPTION_BYTES = 140;
  private static final int ENTRY_BYTES = 56;
  private static final int LOG_ENTRY_BYTES = 400;
  private static final int MAX_MESSAGE_BYTES = 16_384;
  private static final int MAX_LOG_ENTRIES = 32;

  private final MembershipSettings settings;
  private final Set<String> healthChanges = new LinkedHashSet<>();
  private final Set<String> descriptions = new LinkedHashSet<>();
  private final Set<String> entries = new LinkedHashSet<>();
  private long pushedConfigVersion;
  private double budgetBytes;
  private long refilledAtMillis;

  UpdateQueue(MembershipSettings settings, long nowMillis) {
    this.settings = settings;
    this.budgetBytes = settings.pushBurstBytes();
    this.refilledAtMillis = nowMillis;
  }

  /** Queues an update of an instance, with its description or only its health. */
  void addMember(String id, boolean withDescription) {
    if (withDescription) {
      descriptions.add(id);
      healthChanges.remove(id);
    } else if (!descriptions.contains(id)) {
      healthChanges.add(id);
    }
  }

  void addEntry(String key) {
    entries.add(key);
  }

  boolean hasPending(long configVersion) {
    return !healthChanges.isEmpty()
        || !descriptions.isEmpty()
        || !entries.isEmpty()
        || configVersion > pushedConfigVersion;
  }

  void refillBudget(long nowMillis) {
    double added = (nowMillis - refilledAtMillis) * settings.pushBytesPerSecond() / 1_000.0;
    budgetBytes = Math.min(settings.pushBurstBytes(), budgetBytes + added);
    refilledAtMillis = nowMillis;
  }

  /** Removes and returns the updates that the byte budget allows to be sent to all receivers. */
  Batch drain(
      int receivers, MemberTable memberTable, EntryTable entryTable, CurrentConfiguration config) {
    final int maxBytes = (int) Math.min(MAX_MESSAGE_BYTES, Math.max(0, budgetBytes) / receivers);
    List<LogEntry> log = drainLog(config);
    int remaining = maxBytes - log.size() * LOG_ENTRY_BYTES;
    List<MemberRecord> records = new ArrayList<>();
    remaining = drainMembers(healthChanges, RECORD_BYTES, remaining, memberTable, records);
    remaining =
        drainMembers(
            descriptions, RECORD_BYTES + DESCRIPTION_BYTES, remaining, memberTable, records);
    List<SharedEntry> shared = new ArrayList<>();
    remaining = drainEntries(remaining, entryTable, shared);
    budgetBytes -= (double) (maxBytes - remaining) * receivers;
    return new Batch(records, shared, log);
  }

  private int drainMembers(
      Set<String> ids, int bytes, int maxBytes, MemberTable table, List<MemberRecord> drained) {
    int remaining = maxBytes;
    Iterator<String> pending = ids.iterator();
    while (pending.hasNext() && remaining >= bytes) {
      MemberRecord record = table.get(pending.next());
      pending.remove();
      if (record != null) {
        drained.add(bytes > RECORD_BYTES ? record : record.withoutInstance());
        remaining -= bytes;
      }
    }
    return remaining;
  }

  private int drainEntries(int maxBytes, EntryTable table, List<SharedEntry> drained) {
    int remaining = maxBytes;
    Iterator<String> pending = entries.iterator();
    while (pending.hasNext() && remaining >= ENTRY_BYTES) {
      SharedEntry entry = table.get(pending.next());
      pending.remove();
      if (entry != null) {
        drained.add(entry);
        remaining -= ENTRY_BYTES + entry.key().length() + entry.value().length;
      }
    }
    return remaining;
  }

  private List<LogEntry> drainLog(CurrentConfiguration config) {
    long head = config.get().version();
    List<LogEntry> log = config.entriesAfter(pushedConfigVersion).orElse(List.of());
    pushedConfigVersion = head;
    if (log.size() > MAX_LOG_ENTRIES) {
      return log.subList(log.size() - MAX_LOG_ENTRIES, log.size());
    }
    return log;
  }

  /** The updates of one message. */
  record Batch(List<MemberRecord> members, List<SharedEntry> entries, List<LogEntry> log) {
    boolean isEmpty() {
      return members.isEmpty() && entries.isEmpty() && log.isEmpty();
    }
  }
}
