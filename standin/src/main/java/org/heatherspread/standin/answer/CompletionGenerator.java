package org.heatherspread.standin.answer;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/**
 * The answers of the stand-in engine: a pure function of the rendered prompt and the number of
 * tokens, so that a caller can check a whole answer byte for byte, wherever it was computed.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class CompletionGenerator {
  private static final HashFunction FINGERPRINT = Hashing.farmHashFingerprint64();
  private static final int ALPHABET_SIZE = 26;

  private CompletionGenerator() {}

  /** Returns the seed of the answer to a rendered prompt. */
  public static long seed(byte[] renderedPrompt) {
    return FINGERPRINT.hashBytes(renderedPrompt).asLong();
  }

  /** Returns the token with this offset, the first being 1: three letters and a space. */
  public static String token(long seed, int offset) {
    long hash = FINGERPRINT.newHasher(12).putLong(seed).putInt(offset).hash().asLong();
    char[] token = {letter(hash), letter(hash >>> 16), letter(hash >>> 32), ' '};
    return new String(token);
  }

  /** Returns the answer's first tokens as text. */
  public static String text(long seed, int tokens) {
    StringBuilder text = new StringBuilder(4 * tokens);
    for (int i = 1; i <= tokens; i++) {
      text.append(token(seed, i));
    }
    return text.toString();
  }

  private static char letter(long bits) {
    return (char) ('a' + (bits & 0xffff) % ALPHABET_SIZE);
  }
}
