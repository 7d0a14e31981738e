package org.heatherspread.core.membership;

/** Hash functions with the same results in every process. Stateless. */
public final class Hashing {
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Hashing() {}

  /** Hashes a text with 64-bit FNV-1a and a final mix. */
  public static long of(String text) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return finalMix(hash);
  }

  /** Mixes another number into a hash. */
  public static long mix(long hash, long value) {
    return finalMix(hash * FNV_PRIME ^ value);
  }

  private static long finalMix(long hash) {
    long mixed = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
