package org.heatherspread.daemon.record;

import org.heatherspread.core.request.RequestPhase;

/**
 * How far a request has come. Immutable.
 *
 * @param phase the phase reached
 * @param attempt number of the current attempt, from 1; 0 before the first dispatch
 * @param endpointId instance id of the current endpoint, or empty
 * @param endpointUrl base URL of the current endpoint, or empty
 * @param engineStreamId the stream's id at the endpoint, or empty
 * @param baseOffset answer tokens that were delivered before the current attempt began
 * @param prefix answer text delivered before the current attempt began, as the inside of a JSON
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
