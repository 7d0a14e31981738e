package org.heatherspread.standin.engine;

/**
 * The active faults of an engine. Immutable.
 *
 * @param crashMarker a prompt that contains this text ends the process when its prefill completes
 * @param crashNow ends the process immediately
 * @param stall connections that stay open without sending data
 * @param lateMillis delay of each stream event
 * @param crossed probability that an event with a wrong request id, attempt or offset is sent
 *     before a correct one
 * @param cut probability, per token, that the connection is closed after it
 * @param slowFactor multiplier of the step duration
 * @param refuse refuses all new requests before execution
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

  /** The connections that stop sending data. */
  enum Stall {
    /** None from now on; streams that are already stalled stay so. */
    NONE,
    /** The open streams; streams opened later work. */
    EXISTING,
    /** Streams opened from now on. */
    NEW,
    /** All connections, including responses to requests without a stream. */
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
