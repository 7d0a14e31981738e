package org.heatherspread.standin.table;

/**
 * The faults of the table service in force. Immutable; a change makes a new one.
 *
 * @param outage every operation is refused without effect
 * @param stall no operation has an effect or gets an answer
 * @param latencyMillis delay before each operation
 * @param lostNext writes, from now on, whose answer is lost after they took effect
 * @param lostProbability probability that the answer of a write is lost after it took effect
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
