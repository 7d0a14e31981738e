package org.heatherspread.relay.endpoint;

import java.util.Arrays;

/**
 * Ids of the requests that were sent on one connection, as hashes.
 *
 * <p>Invariant: contains each id that was added; an id with the hash of another one seems to be
 * contained as well. Holds at most {@value #MAX_IDS} ids. Confined to one thread.
 */
final class SentRequestIds {
  /** Number of requests after which a connection is replaced, which costs little by then. */
  static final int MAX_IDS = 1_024;

  private static final int INITIAL_CAPACITY = 8;

  private int[] hashes = new int[INITIAL_CAPACITY];
  private int count;

  /** Returns false only if the id was not added. */
  boolean mayContain(String id) {
    int hash = id.hashCode();
    for (int i = 0; i < count; i++) {
      if (hashes[i] == hash) {
        return true;
      }
    }
    return false;
  }

  /** Adds an id, which must not be done once all ids that are held have been added. */
  void add(String id) {
    if (isFull()) {
      throw new IllegalStateException("id " + id + " exceeds the maximum of " + MAX_IDS + " ids");
    }
    if (count == hashes.length) {
      hashes = Arrays.copyOf(hashes, 2 * count);
    }
    hashes[count++] = id.hashCode();
  }

  boolean isFull() {
    return count == MAX_IDS;
  }
}
