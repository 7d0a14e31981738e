package org.heatherspread.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The shared entries known to one daemon, at the highest version of each key.
 *
 * <p>Invariant: holds at most {@code maxEntries} entries; a full table evicts the entry that
 * expires earliest. Not thread-safe.
 */
final class EntryTable {
  private final Map<String, SharedEntry> entries = new LinkedHashMap<>();
  private final Digest digest;
  private final int maxEntries;
  private long evictedCount;

  EntryTable(Digest digest, int maxEntries) {
    this.digest = digest;
    this.maxEntries = maxEntries;
  }

  /** Stores an entry if it is newer than the known one; returns whether the table changed. */
  boolean merge(SharedEntry offered, long nowMillis) {
    if (offered.expiresAtMillis() <= nowMillis) {
      return false;
    }
    String key = key(offered);
    SharedEntry old = entries.get(key);
    if (old != null && !isNewer(offered, old)) {
      return false;
    }
    if (old == null && entries.size() >= maxEntries && !evictEarliestExpiring(offered)) {
      return false;
    }
    entries.put(key, offered);
    digest.put(key, fingerprint(offered));
    return true;
  }

  private boolean evictEarliestExpiring(SharedEntry offered) {
    SharedEntry earliest = offered;
    for (SharedEntry entry : entries.values()) {
      if (entry.expiresAtMillis() < earliest.expiresAtMillis()) {
        earliest = entry;
      }
    }
    evictedCount++;
    if (earliest == offered) {
      return false;
    }
    remove(key(earliest));
    return true;
  }

  private void remove(String key) {
    entries.remove(key);
    digest.remove(key);
  }

  private static boolean isNewer(SharedEntry offered, SharedEntry old) {
    if (offered.version() != old.version()) {
      return offered.version() > old.version();
    }
    return offered.origin().compareTo(old.origin()) > 0;
  }

  void removeExpired(long nowMillis) {
    Iterator<Map.Entry<String, SharedEntry>> all = entries.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<String, SharedEntry> next = all.next();
      if (next.getValue().expiresAtMillis() <= nowMillis) {
        all.remove();
        digest.remove(next.getKey());
      }
    }
  }

  SharedEntry get(String key) {
    return entries.get(key);
  }

  Collection<SharedEntry> all() {
    return entries.values();
  }

  List<SharedEntry> byTopic(String topic, long nowMillis) {
    List<SharedEntry> found = new ArrayList<>();
    for (SharedEntry entry : entries.values()) {
      if (entry.topic().equals(topic) && entry.expiresAtMillis() > nowMillis) {
        found.add(entry);
      }
    }
    return found;
  }

  /** Returns the number of entries that a full table rejected or evicted. */
  long evictedCount() {
    return evictedCount;
  }

  static String key(SharedEntry entry) {
    return key(entry.topic(), entry.key());
  }

  static String key(String topic, String key) {
    return "e/" + topic + "/" + key;
  }

  static long fingerprint(SharedEntry entry) {
    return Hashing.mix(
        Hashing.mix(Hashing.of(key(entry)), entry.version()), Hashing.of(entry.origin()));
  }
}
