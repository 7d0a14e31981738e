package org.heatherspread.core.record;

/** Converts claims to and from the text stored in a row. Implementations are immutable. */
public interface ClaimCodec {
  /** Encodes a claim as JSON. */
  String encode(Claim claim);

  /**
   * Decodes a claim.
   *
   * @throws IllegalArgumentException if the text is not an encoded claim
   */
  Claim decode(String text);
}
