package org.heatherspread.core.poison;

import java.util.Objects;

/**
 * Something that may crash the endpoints that process it. Immutable.
 *
 * @param fingerprint identifies it among those of its kind, the same at every daemon
 */
public record Suspect(Kind kind, String fingerprint) {
  /** Kinds of suspects. */
  public enum Kind {
    /** A request, identified by its content independently of its id. */
    REQUEST,
    /** A segment of prompts, which many requests may have. */
    PROMPT_SEGMENT
  }

  /** Checks the components. */
  public Suspect {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(fingerprint, "fingerprint");
  }

  /** Creates the suspect for a request. */
  public static Suspect request(String fingerprint) {
    return new Suspect(Kind.REQUEST, fingerprint);
  }

  /** Creates the suspect for a prompt segment. */
  public static Suspect promptSegment(long id) {
    return new Suspect(Kind.PROMPT_SEGMENT, Long.toHexString(id));
  }
}
