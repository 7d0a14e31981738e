package org.heatherspread.core.record;

import java.util.Objects;
import java.util.Optional;

/**
 * What is known of a call that must not be repeated. Immutable.
 *
 * @param state the state of the call as known to a record holder
 * @param response the complete response; present only in state {@code ANSWERED}
 */
public record CallOutcome(CallState state, Optional<CallResponse> response) {
  private static final CallOutcome IN_PROGRESS = withoutResponse(CallState.IN_PROGRESS);
  private static final CallOutcome NOT_RUN = withoutResponse(CallState.NOT_RUN);
  private static final CallOutcome UNKNOWN = withoutResponse(CallState.UNKNOWN);
  private static final CallOutcome OTHER_REQUEST = withoutResponse(CallState.OTHER_REQUEST);
  private static final CallOutcome NOT_HELD = withoutResponse(CallState.NOT_HELD);

  /** Checks that a response is present exactly in state {@code ANSWERED}. */
  public CallOutcome {
    if (response.isPresent() != (state == CallState.ANSWERED)) {
      throw new IllegalArgumentException("response presence does not match state " + state);
    }
  }

  private static CallOutcome withoutResponse(CallState state) {
    return new CallOutcome(state, Optional.empty());
  }

  /** Returns the outcome of a call that ran and has a response. */
  public static CallOutcome answered(CallResponse response) {
    return new CallOutcome(CallState.ANSWERED, Optional.of(Objects.requireNonNull(response)));
  }

  /** Returns the outcome of a call that did not run and never will. */
  public static CallOutcome notRun() {
    return NOT_RUN;
  }

  /** Returns the outcome of a call that may have run. */
  public static CallOutcome unknown() {
    return UNKNOWN;
  }

  /** Returns the outcome of a call that the owner is still processing. */
  public static CallOutcome inProgress() {
    return IN_PROGRESS;
  }

  /** Returns the outcome for a call whose id is recorded with another body or client account. */
  public static CallOutcome otherRequest() {
    return OTHER_REQUEST;
  }

  /** Returns the outcome given by a daemon that does not hold the record. */
  public static CallOutcome notHeld() {
    return NOT_HELD;
  }

  /** Returns whether the owner may end the call with this outcome. */
  public boolean isFinal() {
    return state == CallState.ANSWERED || state == CallState.NOT_RUN || state == CallState.UNKNOWN;
  }

  /** Returns whether another record holder cannot know more. */
  public boolean isConclusive() {
    return state != CallState.UNKNOWN && state != CallState.NOT_HELD;
  }
}
