package org.heatherspread.standin.plain;

/**
 * The active faults of a plain service. Immutable.
 *
 * @param crashMarker a request whose body contains this text ends the process once it has started
 * @param crashNow ends the process immediately
 * @param stall executes requests without ever responding
 * @param lateMillis delay of each response after the execution
 * @param refuse probability that a request is refused before execution
 * @param cut probability that the connection is closed after the execution instead of a response
 * @param crossed probability that the response to another request is sent instead of the correct
 *     one
 */
record PlainFaults(
    String crashMarker,
    boolean crashNow,
    boolean stall,
    long lateMillis,
    double refuse,
    double cut,
    double crossed) {
  static PlainFaults none() {
    return new PlainFaults("", false, false, 0, 0, 0, 0);
  }

  boolean crashesOn(String body) {
    return crashMarker != null && !crashMarker.isEmpty() && body.contains(crashMarker);
  }
}
