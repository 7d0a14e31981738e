package org.heatherspread.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The shared entries at one daemon, the highest version of each key.
 *
 * <p>Invariant: at most {@code maxSharedEntries} entries; the one that expires first makes room.
 * Not safe for use by several threads.
 */
final class EntryTable {
  private final Map<String, SharedEntry> entries = new LinkedHashMap<>();
  private final Digest digest;
  private final int maxSharedEntries;
  private long evicted;

  EntryTable(Digest digest, int maxSharedEntries) {
    this.digest = digest;
    this.maxSharedEntries = maxSharedEntries;
  }

  /** Takes an entry over if it is newer than the one known. */
  boolean merge(SharedEntry offered, long nowMillis) {
    if (offered.expiresAtMillis() <= nowMillis) {
      return false;
    }
    String key = key(offered);
    SharedEntry old = entries.get(key);
    if (old != null && !newer(offered, old)) {
      return false;
    }
    if (old == null && entries.size() >= maxSharedEntries && !makeRoom(offered)) {
      return false;
    }
    entries.put(key, offered);
    digest.put(key, fingerprint(offered));
    return true;
  }

  private boolean makeRoom(SharedEntry offered) {
    SharedEntry first = offered;
    for (SharedEntry entry : entries.values()) {
      if (entry.expiresAtMillis() < first.expiresAtMillis()) {
        first = entry;
      }
    }
    evicted++;
    if (first == offered) {
      return false;
    }
    remove(key(first));
    return true;
  }

  private void remove(String key) {
    entries.remove(key);
    digest.remove(key);
  }

  private static boolean newer(SharedEntry offered, SharedEntry old) {
    if (offered.version() != old.version()) {
      return offered.version() > old.version();
    }
    return offered.origin().compareTo(old.origin()) > 0;
  }

  void forgetExpired(long nowMillis) {
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

  List<SharedEntry> topic(String topic, long nowMillis) {
    List<SharedEntry> found = new ArrayList<>();
    for (SharedEntry entry : entries.values()) {
      if (entry.topic().equals(topic) && entry.expiresAtMillis() > nowMillis) {
        found.add(entry);
      }
    }
    return found;
  }

  /** Returns how often a full table refused or dropped an entry. */
  long evicted() {
    return evicted;
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
