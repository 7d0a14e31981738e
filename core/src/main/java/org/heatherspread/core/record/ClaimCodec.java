package org.heatherspread.core.record;

/** Writes claims as the text of a row. Implementations are immutable. */
public interface ClaimCodec {
  /** Returns the JSON text of a claim. */
  String encode(Claim claim);

  /** Reads a claim; throws {@code IllegalArgumentException} on any other text. */
  Claim decode(String text);
}
