package org.heatherspread.core.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
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
final class News {
  private static final int RECORD_BYTES = 48;
  private static final int DESCRIPTION_BYTES = 140;
  private static final int ENTRY_BYTES = 56;
  private static final int LOG_ENTRY_BYTES = 400;
  private static final int MAX_MESSAGE_BYTES = 16_384;
  private static final int MAX_LOG_ENTRIES = 32;

  private final MembershipSettings settings;
  private final Map<String, Boolean> members = new LinkedHashMap<>();
  private final Set<String> entries = new LinkedHashSet<>();
  private long pushedConfig;
  private double tokens;
  private long refilledAtMillis;

  News(MembershipSettings settings, long nowMillis) {
    this.settings = settings;
    this.tokens = settings.burstBytes();
    this.refilledAtMillis = nowMillis;
  }

  void member(String id, boolean described) {
    members.merge(id, described, Boolean::logicalOr);
  }

  void entry(String key) {
    entries.add(key);
  }

  boolean waiting(long configVersion) {
    return !members.isEmpty() || !entries.isEmpty() || configVersion > pushedConfig;
  }

  void refill(long nowMillis) {
    double added = (nowMillis - refilledAtMillis) * settings.bytesPerSecond() / 1_000.0;
    tokens = Math.min(settings.burstBytes(), tokens + added);
    refilledAtMillis = nowMillis;
  }

  /** Takes out what may be sent now to a number of receivers. */
  Batch take(
      int receivers, MemberTable memberTable, EntryTable entryTable, ConfigurationInForce config) {
    int room = (int) Math.min(MAX_MESSAGE_BYTES, Math.max(0, tokens) / receivers);
    final int before = room;
    List<LogEntry> log = takeLog(config);
    room -= log.size() * LOG_ENTRY_BYTES;
    List<MemberRecord> records = new ArrayList<>();
    Iterator<Map.Entry<String, Boolean>> waiting = members.entrySet().iterator();
    while (waiting.hasNext() && room > RECORD_BYTES + DESCRIPTION_BYTES) {
      Map.Entry<String, Boolean> next = waiting.next();
      waiting.remove();
      MemberRecord record = memberTable.get(next.getKey());
      if (record != null) {
        records.add(next.getValue() ? record : record.withoutInstance());
        room -= RECORD_BYTES + (next.getValue() ? DESCRIPTION_BYTES : 0);
      }
    }
    List<SharedEntry> shared = new ArrayList<>();
    Iterator<String> keys = entries.iterator();
    while (keys.hasNext() && room > ENTRY_BYTES) {
      SharedEntry entry = entryTable.get(keys.next());
      keys.remove();
      if (entry != null) {
        shared.add(entry);
        room -= ENTRY_BYTES + entry.key().length() + entry.value().length;
      }
    }
    tokens -= (double) (before - room) * receivers;
    return new Batch(records, shared, log);
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
