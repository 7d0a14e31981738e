package org.heatherspread.relay.call;

/** An attempt to get a response to a request. Confined to the event loop of its call. */
interface RunningAttempt {
  /** Ends the attempt and closes its connection. */
  void abort();

  /** Resumes reading after the caller has caught up. */
  void resumeReading();

  /** Returns the id of the endpoint in logs, empty if another daemon chooses it. */
  String endpointId();
}
