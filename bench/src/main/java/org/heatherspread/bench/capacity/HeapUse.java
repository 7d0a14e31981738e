package org.heatherspread.bench.capacity;

import java.lang.ref.Reference;
import java.util.function.Supplier;

/** Measures how much heap an object and all that only it reaches take. Stateless. */
final class HeapUse {
  private static final int COLLECTIONS = 3;
  private static final long PAUSE_MILLIS = 30;

  private HeapUse() {}

  /** Builds an object and returns the bytes of heap that stay in use with it. */
  static double bytesOf(Supplier<?> builder) {
    long before = used();
    Object held = builder.get();
    long after = used();
    Reference.reachabilityFence(held);
    return after - before;
  }

  private static long used() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
      try {
        Thread.sleep(PAUSE_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
