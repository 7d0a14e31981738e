package org.heatherspread.standin.table;

/**
 * Counts the operations of the table service since its start. Immutable.
 *
 * @param reads GetItem and Query operations served
 * @param writes PutItem and DeleteItem operations served, including conflicts
 * @param conflicts writes whose condition was not met
 * @param lost write responses lost by fault injection
 * @param refused operations refused during an outage
 */
record TableCounters(long reads, long writes, long conflicts, long lost, long refused) {
  static TableCounters zero() {
    return new TableCounters(0, 0, 0, 0, 0);
  }

  TableCounters plusRead() {
    return new TableCounters(reads + 1, writes, conflicts, lost, refused);
  }

  TableCounters plusWrite() {
    return new TableCounters(reads, writes + 1, conflicts, lost, refused);
  }

  TableCounters plusConflict() {
    return new TableCounters(reads, writes, conflicts + 1, lost, refused);
  }

  TableCounters plusLost() {
    return new TableCounters(reads, writes, conflicts, lost + 1, refused);
  }

  TableCounters plusRefused() {
    return new TableCounters(reads, writes, conflicts, lost, refused + 1);
  }
}
