package org.heatherspread.relay.call;

import java.util.ArrayList;
import java.util.List;
import org.heatherspread.core.placement.PromptSegment;
import org.heatherspread.core.placement.Workload;
import org.heatherspread.core.poison.Fingerprints;
import org.heatherspread.core.poison.Suspect;
import org.heatherspread.relay.caller.CallerRequest;

/**
 * What may crash endpoints in a call: the request itself and the shared segments of its prompt. The
 * hash of the request is computed when it is first needed, once for all attempts. Confined to one
 * thread.
 */
final class CallSuspects {
  private final CallerRequest callerRequest;
  private final String account;
  private final List<Suspect> promptSegments = new ArrayList<>();
  private Suspect request;

  private CallSuspects(CallerRequest callerRequest, String account, Workload work) {
    this.callerRequest = callerRequest;
    this.account = account;
    for (PromptSegment segment : work.sharedSegments()) {
      promptSegments.add(Suspect.promptSegment(segment.id()));
    }
  }

  /**
   * Creates the suspects of a request.
   *
   * @param account name of the client account, empty if the route requires no key
   */
  static CallSuspects of(CallerRequest request, String account, Workload work) {
    return new CallSuspects(request, account, work);
  }

  /** Returns the request itself. */
  Suspect request() {
    if (request == null) {
      request =
          Suspect.request(
              Fingerprints.ofRequest(
                  callerRequest.method().name(),
                  callerRequest.target(),
                  account,
                  callerRequest.content().nioBuffer()));
    }
    return request;
  }

  /** Returns the segments of the prompt that other requests may share, in order. */
  List<Suspect> promptSegments() {
    return promptSegments;
  }
}
