package org.heatherspread.core.membership;

/** Hashes that are the same in every process. Stateless. */
public final class Hashing {
  private static final long OFFSET = 0xcbf29ce484222325L;
  private static final long PRIME = 0x100000001b3L;

  private Hashing() {}

  /** Hashes a text (FNV-1a, 64 bits, with a finishing mix). */
  public static long of(String text) {
    long hash = OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * PRIME;
    }
    return finish(hash);
  }

  /** Mixes another number into a hash. */
  public static long mix(long hash, long value) {
    return finish(hash * PRIME ^ value);
  }

  private static long finish(long hash) {
    long mixed = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
