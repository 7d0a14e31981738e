package org.heatherspread.bench.capacity;

import java.lang.ref.Reference;
import java.util.function.Supplier;

/** Measures the retained heap of an object. Stateless. */
final class RetainedHeap {
  private static final int GC_RUNS = 3;
  private static final long GC_PAUSE_MILLIS = 30;

  private RetainedHeap() {}

  /**
   * Creates an object and returns its retained size in bytes, as the difference of the used heap
   * after garbage collection.
   */
  static double measureBytes(Supplier<?> builder) {
    long before = usedBytesAfterGc();
    Object retained = builder.get();
    long after = usedBytesAfterGc();
    Reference.reachabilityFence(retained);
    return after - before;
  }

  private static long usedBytesAfterGc() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < GC_RUNS; i++) {
      System.gc();
      try {
        Thread.sleep(GC_PAUSE_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
