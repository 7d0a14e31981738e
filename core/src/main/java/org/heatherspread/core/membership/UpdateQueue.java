package org.heatherspread.core.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.heatherspread.core.config.ConfigurationInForce;
import org.heatherspread.core.config.LogEntry;

/**
 * What one daemon has learnt and not yet passed on, within a budget of bytes. Configuration goes
 * first, then the health of instances, then shared entries; a later value replaces an earlier one
 * that still waits.
 *
 * <p>Not safe for use by several threads.
 */
final class UpdateQueue {
  private static final int RECORD_BYTES = 48;
  private static final int DESCRIPTION_BYTES = 140;
  private static final int ENTRY_BYTES = 56;
  private static final int LOG_ENTRY_BYTES = 400;
  private static final int MAX_MESSAGE_BYTES = 16_384;
  private static final int MAX_LOG_ENTRIES = 32;

  private final MembershipSettings settings;
  private final Set<String> changed = new LinkedHashSet<>();
  private final Set<String> described = new LinkedHashSet<>();
  private final Set<String> entries = new LinkedHashSet<>();
  private long pushedConfig;
  private double tokens;
  private long refilledAtMillis;

  UpdateQueue(MembershipSettings settings, long nowMillis) {
    this.settings = settings;
    this.tokens = settings.pushBurstBytes();
    this.refilledAtMillis = nowMillis;
  }

  /** Notes a change of an instance's health, or one that needs its whole description. */
  void member(String id, boolean whole) {
    if (whole) {
      described.add(id);
      changed.remove(id);
    } else if (!described.contains(id)) {
      changed.add(id);
    }
  }

  void entry(String key) {
    entries.add(key);
  }

  boolean waiting(long configVersion) {
    return !changed.isEmpty()
        || !described.isEmpty()
        || !entries.isEmpty()
        || configVersion > pushedConfig;
  }

  void refill(long nowMillis) {
    double added = (nowMillis - refilledAtMillis) * settings.pushBytesPerSecond() / 1_000.0;
    tokens = Math.min(settings.pushBurstBytes(), tokens + added);
    refilledAtMillis = nowMillis;
  }

  /** Takes out what may be sent now to a number of receivers. */
  Batch take(
      int receivers, MemberTable memberTable, EntryTable entryTable, ConfigurationInForce config) {
    final int room = (int) Math.min(MAX_MESSAGE_BYTES, Math.max(0, tokens) / receivers);
    List<LogEntry> log = takeLog(config);
    int left = room - log.size() * LOG_ENTRY_BYTES;
    List<MemberRecord> records = new ArrayList<>();
    left = takeMembers(changed, RECORD_BYTES, left, memberTable, records);
    left = takeMembers(described, RECORD_BYTES + DESCRIPTION_BYTES, left, memberTable, records);
    List<SharedEntry> shared = new ArrayList<>();
    left = takeEntries(left, entryTable, shared);
    tokens -= (double) (room - left) * receivers;
    return new Batch(records, shared, log);
  }

  private int takeMembers(
      Set<String> ids, int bytes, int room, MemberTable table, List<MemberRecord> taken) {
    int left = room;
    Iterator<String> waiting = ids.iterator();
    while (waiting.hasNext() && left >= bytes) {
      MemberRecord record = table.get(waiting.next());
      waiting.remove();
      if (record != null) {
        taken.add(bytes > RECORD_BYTES ? record : record.withoutInstance());
        left -= bytes;
      }
    }
    return left;
  }

  private int takeEntries(int room, EntryTable table, List<SharedEntry> taken) {
    int left = room;
    Iterator<String> waiting = entries.iterator();
    while (waiting.hasNext() && left >= ENTRY_BYTES) {
      SharedEntry entry = table.get(waiting.next());
      waiting.remove();
      if (entry != null) {
        taken.add(entry);
        left -= ENTRY_BYTES + entry.key().length() + entry.value().length;
      }
    }
    return left;
  }

  private List<LogEntry> takeLog(ConfigurationInForce config) {
    long head = config.get().version();
    List<LogEntry> log = config.entriesAfter(pushedConfig).orElse(List.of());
    pushedConfig = head;
    if (log.size() > MAX_LOG_ENTRIES) {
      return log.subList(log.size() - MAX_LOG_ENTRIES, log.size());
    }
    return log;
  }

  /** What goes into one message. */
  record Batch(List<MemberRecord> members, List<SharedEntry> entries, List<LogEntry> log) {
    boolean isEmpty() {
      return members.isEmpty() && entries.isEmpty() && log.isEmpty();
    }
  }
}
