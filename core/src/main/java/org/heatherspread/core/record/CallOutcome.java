package org.heatherspread.core.record;

import java.util.Objects;
import java.util.Optional;

/**
 * What is known of a request that may not be repeated. Immutable.
 *
 * @param state what a keeper of the record can say
 * @param response the whole answer; present only in state {@code ANSWERED}
 */
public record CallOutcome(CallState state, Optional<CallResponse> response) {
  private static final CallOutcome IN_PROGRESS = withoutResponse(CallState.IN_PROGRESS);
  private static final CallOutcome NOT_RUN = withoutResponse(CallState.NOT_RUN);
  private static final CallOutcome UNKNOWN = withoutResponse(CallState.UNKNOWN);
  private static final CallOutcome OTHER_REQUEST = withoutResponse(CallState.OTHER_REQUEST);
  private static final CallOutcome NOT_HELD = withoutResponse(CallState.NOT_HELD);

  /** Checks that an answer is there exactly when the state says so. */
  public CallOutcome {
    if (response.isPresent() != (state == CallState.ANSWERED)) {
      throw new IllegalArgumentException("answer does not fit state " + state);
    }
  }

  private static CallOutcome withoutResponse(CallState state) {
    return new CallOutcome(state, Optional.empty());
  }

  /** The request ran and has this answer. */
  public static CallOutcome answered(CallResponse response) {
    return new CallOutcome(CallState.ANSWERED, Optional.of(Objects.requireNonNull(response)));
  }

  /** The request did not run and never will. */
  public static CallOutcome notRun() {
    return NOT_RUN;
  }

  /** The request may have run. */
  public static CallOutcome unknown() {
    return UNKNOWN;
  }

  /** The owner still works on the request. */
  public static CallOutcome inProgress() {
    return IN_PROGRESS;
  }

  /** The record belongs to another body or account. */
  public static CallOutcome otherRequest() {
    return OTHER_REQUEST;
  }

  /** The daemon asked is not a keeper of the record. */
  public static CallOutcome notHeld() {
    return NOT_HELD;
  }

  /** Tells whether the owner may end the request with this outcome. */
  public boolean isFinal() {
    return state == CallState.ANSWERED || state == CallState.NOT_RUN || state == CallState.UNKNOWN;
  }

  /** Tells whether asking another keeper cannot give better knowledge. */
  public boolean isConclusive() {
    return state != CallState.UNKNOWN && state != CallState.NOT_HELD;
  }
}
