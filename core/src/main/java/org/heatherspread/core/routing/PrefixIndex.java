package org.heatherspread.core.routing;

import java.util.Arrays;

/**
 * Records which endpoints are expected to hold which prompt blocks in their prefix caches.
 *
 * <p>A set-associative table of fixed size maps the chained hash of a block to its most recently
 * confirmed holders. The entries are hints, which expire unless confirmed. A full set evicts the
 * least recently confirmed block, a full block its least recently confirmed holder. Because hashes
 * are chained, an entry represents the whole prefix up to its block, so that a path of a radix tree
 * becomes a sequence of hash lookups.
 *
 * <p>Thread-safe. Writers are mutually exclusive; readers take no lock and may see a block while it
 * is being replaced. The worst effect is a wrong hint, as after a delayed cache event.
 */
public final class PrefixIndex {
  private static final int WAYS = 8;
  private static final int HOLDERS = 8;
  private static final int SLOT_BITS = 16;
  private static final int TICK_MASK = 0xFFFF;
  private static final int EMPTY = 0;
  private static final int NO_CHILD = 0;
  private static final int SEVERAL_CHILDREN = -1;
  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

  /** Maximum number of endpoint slots in one index. */
  public static final int MAX_SLOTS = (1 << SLOT_BITS) - 1;

  /** Memory per block in bytes. */
  public static final int BYTES_PER_BLOCK = Long.BYTES + (HOLDERS + 1) * Integer.BYTES;

  private final int sets;
  private final int lifetimeSeconds;
  private final long[] keys;
  private final int[] holders;
  private final int[] children;
  private final int[] invalidatedAtTick = new int[MAX_SLOTS + 1];
  private int nextSetToExpire;

  private PrefixIndex(int sets, int lifetimeSeconds) {
    this.sets = sets;
    this.lifetimeSeconds = lifetimeSeconds;
    this.keys = new long[sets * WAYS];
    this.holders = new int[sets * WAYS * HOLDERS];
    this.children = new int[sets * WAYS];
    Arrays.fill(invalidatedAtTick, -1);
  }

  /**
   * Creates an empty index.
   *
   * @param maxBytes memory bound of the table; the number of sets is rounded down to a power of two
   * @param lifetimeSeconds time after which an unconfirmed entry expires, below 32,768
   */
  public static PrefixIndex create(long maxBytes, int lifetimeSeconds) {
    long sets = Long.highestOneBit(Math.max(1, maxBytes / (BYTES_PER_BLOCK * (long) WAYS)));
    if (sets * WAYS * HOLDERS > Integer.MAX_VALUE || lifetimeSeconds > TICK_MASK / 2) {
      throw new IllegalArgumentException(
          "index exceeds the maximum array size or lifetime exceeds 32,767 seconds");
    }
    return new PrefixIndex((int) sets, lifetimeSeconds);
  }

  /** Returns the maximum number of blocks in the index. */
  public int capacity() {
    return keys.length;
  }

  /** Records that an endpoint holds the first {@code count} blocks of a prompt. */
  public synchronized void add(long[] hashes, int count, int slot, long nowMillis) {
    int tick = tick(nowMillis);
    for (int i = 0; i < count; i++) {
      int entry = put(hashes[i], slot, tick);
      if (i + 1 < hashes.length) {
        recordChild(entry, hashes[i + 1]);
      }
    }
  }

  /** Records that an endpoint holds a block. */
  public synchronized void add(long hash, int slot, long nowMillis) {
    put(hash, slot, tick(nowMillis));
  }

  /** Records that an endpoint no longer holds a block. */
  public synchronized void remove(long hash, int slot) {
    int entry = find(hash);
    if (entry < 0) {
      return;
    }
    int base = entry * HOLDERS;
    for (int i = base; i < base + HOLDERS; i++) {
      if (holders[i] >>> SLOT_BITS == slot + 1) {
        holders[i] = EMPTY;
      }
    }
  }

  /**
   * Invalidates all entries of an endpoint after its process restarted, including those confirmed
   * within the same second.
   */
  public void invalidate(int slot, long nowMillis) {
    invalidateBefore(slot, nowMillis);
  }

  /**
   * Invalidates the entries of an endpoint that were last confirmed before a time, at a resolution
   * of one second.
   */
  public synchronized void invalidateBefore(int slot, long millis) {
    invalidatedAtTick[slot] = tick(millis);
  }

  /**
   * Removes expired holders from the next sets. Timestamps wrap around after 65,536 seconds, so an
   * expired entry that remained would become valid again.
   */
  public synchronized void removeExpired(int maxSets, long nowMillis) {
    int tick = tick(nowMillis);
    for (int n = 0; n < Math.min(maxSets, sets); n++) {
      int from = nextSetToExpire * WAYS * HOLDERS;
      for (int i = from; i < from + WAYS * HOLDERS; i++) {
        if (holders[i] != EMPTY && !isValid(holders[i], tick)) {
          holders[i] = EMPTY;
        }
      }
      nextSetToExpire = (nextSetToExpire + 1) & (sets - 1);
    }
  }

  private void recordChild(int entry, long hash) {
    int child = (int) hash & Integer.MAX_VALUE | 1;
    if (children[entry] == NO_CHILD) {
      children[entry] = child;
    } else if (children[entry] != child) {
      children[entry] = SEVERAL_CHILDREN;
    }
  }

  private int put(long hash, int slot, int tick) {
    int entry = find(hash);
    if (entry < 0) {
      entry = replaceOldest(hash, tick);
    }
    int base = entry * HOLDERS;
    int target = base;
    int oldest = -1;
    for (int i = base; i < base + HOLDERS; i++) {
      int holder = holders[i];
      if (holder >>> SLOT_BITS == slot + 1) {
        target = i;
        break;
      }
      int age = isValid(holder, tick) ? age(holder, tick) : Integer.MAX_VALUE;
      if (age > oldest) {
        oldest = age;
        target = i;
      }
    }
    holders[target] = (slot + 1) << SLOT_BITS | tick;
    return entry;
  }

  private int replaceOldest(long hash, int tick) {
    int first = firstWay(hash);
    int victim = first;
    int oldest = -1;
    for (int way = first; way < first + WAYS; way++) {
      int age = youngestHolderAge(way, tick);
      if (age > oldest) {
        oldest = age;
        victim = way;
      }
    }
    Arrays.fill(holders, victim * HOLDERS, (victim + 1) * HOLDERS, EMPTY);
    keys[victim] = hash;
    children[victim] = NO_CHILD;
    return victim;
  }

  private int youngestHolderAge(int entry, int tick) {
    int youngest = Integer.MAX_VALUE;
    for (int i = entry * HOLDERS; i < (entry + 1) * HOLDERS; i++) {
      if (isValid(holders[i], tick)) {
        youngest = Math.min(youngest, age(holders[i], tick));
      }
    }
    return youngest;
  }

  /**
   * Finds the endpoints that hold the longest prefixes of a prompt, longest first, until the match
   * is full.
   *
   * @param hashes chained hashes of the prompt's blocks
   * @param match cleared, then filled with the result
   */
  public void lookup(long[] hashes, PrefixMatch match, long nowMillis) {
    match.clear();
    int tick = tick(nowMillis);
    int[] entries = match.entryBuffer(hashes.length);
    int depth = 0;
    while (depth < hashes.length) {
      int entry = find(hashes[depth]);
      if (entry < 0) {
        break;
      }
      entries[depth] = entry;
      if (children[entry] == SEVERAL_CHILDREN) {
        match.setSharedBlocks(depth + 1);
      }
      depth++;
    }
    for (int i = depth - 1; i >= 0 && !match.isFull(); i--) {
      if (i == depth - 1 || !haveSameHolders(entries[i], entries[i + 1])) {
        addHolders(entries[i], i + 1, match, tick);
      }
    }
  }

  private boolean haveSameHolders(int entry, int other) {
    for (int i = 0; i < HOLDERS; i++) {
      if (holders[entry * HOLDERS + i] != holders[other * HOLDERS + i]) {
        return false;
      }
    }
    return true;
  }

  private void addHolders(int entry, int blocks, PrefixMatch match, int tick) {
    int base = entry * HOLDERS;
    for (int i = base; i < base + HOLDERS; i++) {
      int holder = holders[i];
      if (isValid(holder, tick)) {
        match.add((holder >>> SLOT_BITS) - 1, blocks);
      }
    }
  }

  private int find(long hash) {
    int first = firstWay(hash);
    for (int way = first; way < first + WAYS; way++) {
      if (keys[way] == hash) {
        return way;
      }
    }
    return -1;
  }

  private int firstWay(long hash) {
    return ((int) ((hash * HASH_MULTIPLIER) >>> 33) & (sets - 1)) * WAYS;
  }

  private boolean isValid(int holder, int tick) {
    if (holder == EMPTY) {
      return false;
    }
    int age = age(holder, tick);
    if (age > lifetimeSeconds) {
      return false;
    }
    int invalidatedAt = invalidatedAtTick[(holder >>> SLOT_BITS) - 1];
    return invalidatedAt < 0 || age < ((tick - invalidatedAt) & TICK_MASK);
  }

  private static int age(int holder, int tick) {
    return (tick - (holder & TICK_MASK)) & TICK_MASK;
  }

  private static int tick(long nowMillis) {
    return (int) (nowMillis / 1_000) & TICK_MASK;
  }
}
