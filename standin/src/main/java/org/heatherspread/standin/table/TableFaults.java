package org.heatherspread.standin.table;

/**
 * The active faults of the table service. Immutable.
 *
 * @param outage refuses every operation without effect
 * @param stall never responds, and operations have no effect
 * @param latencyMillis delay before each operation
 * @param lostNext number of next writes whose response is lost after they took effect
 * @param lostProbability probability that the response to a write is lost after it took effect
 */
record TableFaults(
    boolean outage, boolean stall, long latencyMillis, int lostNext, double lostProbability) {
  static TableFaults none() {
    return new TableFaults(false, false, 0, 0, 0);
  }

  TableFaults withLostNext(int count) {
    return new TableFaults(outage, stall, latencyMillis, count, lostProbability);
  }
}
