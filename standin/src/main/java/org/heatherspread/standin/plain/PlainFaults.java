package org.heatherspread.standin.plain;

/**
 * The faults of a plain service in force. Immutable; a change makes a new one.
 *
 * @param crashMarker the process ends when a call with this text in its body has started
 * @param crashNow ends the process at once
 * @param stall runs calls and never answers, from now on
 * @param lateMillis delay of each answer after the run
 * @param refuse probability that a call is refused before it runs
 * @param cut probability that the connection is cut after the run in place of an answer
 * @param crossed probability that the answer to another request comes in place of the true one
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
