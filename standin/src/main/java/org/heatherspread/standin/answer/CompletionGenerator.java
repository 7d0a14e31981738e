package org.heatherspread.standin.answer;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/**
 * Generates the completions of the stand-in engine. They depend only on the rendered prompt and the
 * number of tokens, so that a caller can compare a completion byte for byte, whichever engines
 * computed it.
 *
 * <p>Stateless and thread-safe.
 */
public final class CompletionGenerator {
  private static final HashFunction FINGERPRINT = Hashing.farmHashFingerprint64();
  private static final int ALPHABET_SIZE = 26;

  private CompletionGenerator() {}

  /** Returns the seed that determines the completion of a rendered prompt. */
  public static long seed(byte[] renderedPrompt) {
    return FINGERPRINT.hashBytes(renderedPrompt).asLong();
  }

  /** Returns the token at an offset that starts at 1. A token is three letters and a space. */
  public static String token(long seed, int offset) {
    long hash = FINGERPRINT.newHasher(12).putLong(seed).putInt(offset).hash().asLong();
    char[] token = {letter(hash), letter(hash >>> 16), letter(hash >>> 32), ' '};
    return new String(token);
  }

  /** Returns the text of the first tokens. */
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
