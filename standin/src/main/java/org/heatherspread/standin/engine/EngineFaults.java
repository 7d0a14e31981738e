package org.heatherspread.standin.engine;

/**
 * The faults of an engine in force. Immutable; a change makes a new one.
 *
 * @param crashMarker the process ends when a prompt with this text is about to get its first token
 * @param crashNow ends the process at once
 * @param stall which connections go silent while staying open
 * @param lateMillis delay of each event of a stream
 * @param crossed probability that a frame with a foreign id, attempt or offset is sent before a
 *     true one
 * @param cut probability, for each token, that the connection is closed after it
 * @param slowFactor multiplies the time of a step
 * @param refuse refuses all new requests before running them
 */
record EngineFaults(
    String crashMarker,
    boolean crashNow,
    Stall stall,
    long lateMillis,
    double crossed,
    double cut,
    double slowFactor,
    boolean refuse) {

  /** Which connections are silent. */
  enum Stall {
    /** None, from now on. */
    NONE,
    /** Those open at the moment; later ones work. */
    EXISTING,
    /** Those opened from now on. */
    NEW,
    /** All, answers to other calls included. */
    ALL
  }

  static EngineFaults none() {
    return new EngineFaults("", false, Stall.NONE, 0, 0, 0, 1, false);
  }

  boolean crashesOn(byte[] prompt) {
    if (crashMarker == null || crashMarker.isEmpty()) {
      return false;
    }
    return new String(prompt, java.nio.charset.StandardCharsets.UTF_8).contains(crashMarker);
  }

  boolean stallsNewStreams() {
    return stall == Stall.NEW || stall == Stall.ALL;
  }

  boolean stallsExistingStreams() {
    return stall == Stall.EXISTING || stall == Stall.ALL;
  }
}
