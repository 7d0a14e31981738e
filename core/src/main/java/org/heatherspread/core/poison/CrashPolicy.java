package org.heatherspread.core.poison;

import java.time.Duration;

/**
 * Policy by which suspects are refused. Immutable.
 *
 * @param requestThreshold number of crashes at which a request is refused
 * @param segmentThreshold number of crashes at which all requests with a prompt segment are refused
 * @param initialRefusal time from the last crash for which a suspect is refused at the threshold;
 *     doubles with each further crash
 * @param retention time for which a crash counts, which also limits each refusal
 * @param successValidity time after a success in which crashes do not count against the suspect
 * @param maxSuspects maximum number of suspects with evidence
 */
public record CrashPolicy(
    int requestThreshold,
    int segmentThreshold,
    Duration initialRefusal,
    Duration retention,
    Duration successValidity,
    int maxSuspects) {
  int threshold(Suspect suspect) {
    return switch (suspect.kind()) {
      case REQUEST -> requestThreshold;
      case PROMPT_SEGMENT -> segmentThreshold;
    };
  }
}
