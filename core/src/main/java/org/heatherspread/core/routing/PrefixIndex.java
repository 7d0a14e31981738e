package org.heatherspread.core.routing;

import java.util.Arrays;

/**
 * Which endpoints are believed to hold which blocks of prompts in their prefix cache.
 *
 * <p>Soft state with a fixed memory bound: a set-associative table from the chained hash of a block
 * to its most recently confirmed holders. A full set gives up the block that was confirmed longest
 * ago, a full block the holder that was. Because hashes are chained, one entry stands for the whole
 * prefix up to its block, so a radix tree's path is a run of plain look-ups.
 *
 * <p>Safe for use by any thread. Writers exclude each other; readers take no lock and may see a
 * block while it is replaced. The worst that can follow is a wrong hint, as from a late cache
 * event.
 */
public final class PrefixIndex {
  private static final int WAYS = 8;
  private static final int HOLDERS = 8;
  private static final int SLOT_BITS = 16;
  private static final int TICK_MASK = 0xFFFF;
  private static final int EMPTY = 0;
  private static final int NO_CHILD = 0;
  private static final int SEVERAL_CHILDREN = -1;
  private static final long SPREAD = 0x9E3779B97F4A7C15L;

  /** Most endpoints that one index can tell apart. */
  public static final int MAX_SLOTS = (1 << SLOT_BITS) - 1;

  /** Bytes that one block takes. */
  public static final int BYTES_PER_BLOCK = Long.BYTES + (HOLDERS + 1) * Integer.BYTES;

  private final int sets;
  private final int lifetimeSeconds;
  private final long[] keys;
  private final int[] holders;
  private final int[] children;
  private final int[] droppedAt = new int[MAX_SLOTS + 1];
  private int sweepNext;

  private PrefixIndex(int sets, int lifetimeSeconds) {
    this.sets = sets;
    this.lifetimeSeconds = lifetimeSeconds;
    this.keys = new long[sets * WAYS];
    this.holders = new int[sets * WAYS * HOLDERS];
    this.children = new int[sets * WAYS];
    Arrays.fill(droppedAt, -1);
  }

  /**
   * Creates an empty index.
   *
   * @param maxBytes memory bound of the table, rounded down to a power of two of sets
   * @param lifetimeSeconds how long an entry holds without being confirmed, below 32,768
   */
  public static PrefixIndex create(long maxBytes, int lifetimeSeconds) {
    long sets = Long.highestOneBit(Math.max(1, maxBytes / (BYTES_PER_BLOCK * (long) WAYS)));
    if (sets * WAYS * HOLDERS > Integer.MAX_VALUE || lifetimeSeconds > TICK_MASK / 2) {
      throw new IllegalArgumentException("index too large or lifetime too long");
    }
    return new PrefixIndex((int) sets, lifetimeSeconds);
  }

  /** Returns how many blocks the index can hold. */
  public int capacity() {
    return keys.length;
  }

  /*
   * Updates
   */

  /** Notes that an endpoint holds the first {@code count} blocks of a prompt. */
  public synchronized void add(long[] hashes, int count, int slot, long nowMillis) {
    int tick = tick(nowMillis);
    for (int i = 0; i < count; i++) {
      int entry = put(hashes[i], slot, tick);
      if (i + 1 < hashes.length) {
        noteChild(entry, hashes[i + 1]);
      }
    }
  }

  /** Notes that an endpoint holds a block. */
  public synchronized void add(long hash, int slot, long nowMillis) {
    put(hash, slot, tick(nowMillis));
  }

  /** Notes that an endpoint no longer holds a block. */
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
   * Forgets all that is known of an endpoint, since it started anew. What was noted within the same
   * second is forgotten as well.
   */
  public void invalidate(int slot, long nowMillis) {
    invalidateBefore(slot, nowMillis);
  }

  /** Forgets what was last confirmed of an endpoint before a moment, to the second. */
  public synchronized void invalidateBefore(int slot, long millis) {
    droppedAt[slot] = tick(millis);
  }

  /** Clears expired holders from the next sets, so that an old entry never looks young again. */
  public synchronized void removeExpired(int maxSets, long nowMillis) {
    int tick = tick(nowMillis);
    for (int n = 0; n < Math.min(maxSets, sets); n++) {
      int from = sweepNext * WAYS * HOLDERS;
      for (int i = from; i < from + WAYS * HOLDERS; i++) {
        if (holders[i] != EMPTY && !valid(holders[i], tick)) {
          holders[i] = EMPTY;
        }
      }
      sweepNext = (sweepNext + 1) & (sets - 1);
    }
  }

  private void noteChild(int entry, long hash) {
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
      int age = valid(holder, tick) ? age(holder, tick) : Integer.MAX_VALUE;
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
      int age = youngest(way, tick);
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

  private int youngest(int entry, int tick) {
    int youngest = Integer.MAX_VALUE;
    for (int i = entry * HOLDERS; i < (entry + 1) * HOLDERS; i++) {
      if (valid(holders[i], tick)) {
        youngest = Math.min(youngest, age(holders[i], tick));
      }
    }
    return youngest;
  }

  /*
   * Look-up
   */

  /**
   * Finds who holds the longest prefixes of a prompt, longest first, until the match is full.
   *
   * @param hashes chained hashes of the prompt's blocks
   * @param match cleared and filled
   */
  public void lookup(long[] hashes, PrefixMatch match, long nowMillis) {
    match.clear();
    int tick = tick(nowMillis);
    int[] path = match.entryBuffer(hashes.length);
    int depth = 0;
    while (depth < hashes.length) {
      int entry = find(hashes[depth]);
      if (entry < 0) {
        break;
      }
      path[depth] = entry;
      if (children[entry] == SEVERAL_CHILDREN) {
        match.setSharedBlocks(depth + 1);
      }
      depth++;
    }
    for (int i = depth - 1; i >= 0 && !match.isFull(); i--) {
      if (i == depth - 1 || !sameHolders(path[i], path[i + 1])) {
        collect(path[i], i + 1, match, tick);
      }
    }
  }

  private boolean sameHolders(int entry, int other) {
    for (int i = 0; i < HOLDERS; i++) {
      if (holders[entry * HOLDERS + i] != holders[other * HOLDERS + i]) {
        return false;
      }
    }
    return true;
  }

  private void collect(int entry, int blocks, PrefixMatch match, int tick) {
    int base = entry * HOLDERS;
    for (int i = base; i < base + HOLDERS; i++) {
      int holder = holders[i];
      if (valid(holder, tick)) {
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
    return ((int) ((hash * SPREAD) >>> 33) & (sets - 1)) * WAYS;
  }

  private boolean valid(int holder, int tick) {
    if (holder == EMPTY) {
      return false;
    }
    int age = age(holder, tick);
    if (age > lifetimeSeconds) {
      return false;
    }
    int dropped = droppedAt[(holder >>> SLOT_BITS) - 1];
    return dropped < 0 || age < ((tick - dropped) & TICK_MASK);
  }

  private static int age(int holder, int tick) {
    return (tick - (holder & TICK_MASK)) & TICK_MASK;
  }

  private static int tick(long nowMillis) {
    return (int) (nowMillis / 1_000) & TICK_MASK;
  }
}
