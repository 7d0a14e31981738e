package org.heatherspread.core.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Computes the hashes by which daemons and engines recognize prompts with a common prefix. A prompt
 * is split into blocks of {@value #BLOCK_BYTES} bytes. The hash of a block covers all blocks up to
 * and including it; a partial last block has none.
 *
 * <p>Stateless and thread-safe. The hash function is FarmHash Fingerprint64 of Guava, whose values
 * are the same in every process.
 */
public final class PrefixHashes {
  /** Block size in bytes of UTF-8 text. */
  public static final int BLOCK_BYTES = 256;

  /** Bytes of text counted as one token. */
  public static final int TOKEN_BYTES = 4;

  /** Tokens per block. */
  public static final int BLOCK_TOKENS = BLOCK_BYTES / TOKEN_BYTES;

  private static final HashFunction FINGERPRINT = Hashing.farmHashFingerprint64();

  private PrefixHashes() {}

  /** One message of a chat prompt. Immutable. */
  public record Message(String role, String content) {}

  /** Renders each message as role, newline, content, newline, in UTF-8. */
  public static byte[] render(List<Message> messages) {
    StringBuilder text = new StringBuilder();
    for (Message m : messages) {
      text.append(m.role()).append('\n').append(m.content()).append('\n');
    }
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the chained hash of each complete block of a rendered prompt, in order. */
  public static long[] of(byte[] renderedPrompt) {
    long[] hashes = new long[renderedPrompt.length / BLOCK_BYTES];
    long previous = 0;
    for (int i = 0; i < hashes.length; i++) {
      previous =
          FINGERPRINT
              .newHasher(Long.BYTES + BLOCK_BYTES)
              .putLong(previous)
              .putBytes(renderedPrompt, i * BLOCK_BYTES, BLOCK_BYTES)
              .hash()
              .asLong();
      hashes[i] = previous;
    }
    return hashes;
  }

  /** Returns the estimated number of tokens in a text of the given size, rounded up. */
  public static int estimateTokens(int bytes) {
    return (bytes + TOKEN_BYTES - 1) / TOKEN_BYTES;
  }
}
