package org.heatherspread.daemon.record;

import org.heatherspread.core.request.RequestPhase;

/**
 * Progress of a request. Immutable.
 *
 * @param phase current phase
 * @param attempt number of the current attempt, from 1; 0 before the first dispatch
 * @param endpointId instance id of the current endpoint, or empty
 * @param endpointUrl base URL of the current endpoint, or empty
 * @param engineStreamId id of the stream at the endpoint, or empty
 * @param baseOffset number of answer tokens delivered before the current attempt
 * @param prefix answer text delivered before the current attempt, escaped as the content of a JSON
 *     string; empty for the first attempt
 */
public record RecordProgress(
    RequestPhase phase,
    int attempt,
    String endpointId,
    String endpointUrl,
    String engineStreamId,
    long baseOffset,
    String prefix) {

  /** Returns the progress of a request that has not been dispatched. */
  public static RecordProgress none() {
    return new RecordProgress(RequestPhase.ACCEPTED, 0, "", "", "", 0, "");
  }
}
