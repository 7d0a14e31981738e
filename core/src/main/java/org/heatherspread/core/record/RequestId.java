package org.heatherspread.core.record;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Id of a request. It names the two daemons that hold the record of the request, so any daemon
 * finds the record with at most two calls, without a broadcast or a read of the table service.
 * Immutable.
 *
 * <p>Text form: {@code r1~OWNER~INCARNATION~WITNESS~INCARNATION~NONCE}, numbers in base 36; all
 * characters are unreserved in a URL (RFC 3986).
 *
 * @param owner the daemon that runs the request
 * @param witness the daemon in another failure domain that holds the second copy of the record
 * @param nonce distinguishes requests of the same two daemons
 */
public record RequestId(DaemonRef owner, DaemonRef witness, long nonce) {
  private static final String VERSION = "r1";
  private static final String SEPARATOR = "~";
  private static final int PARTS = 6;
  private static final int RADIX = 36;

  /** Creates an id with a random nonce. */
  public static RequestId create(DaemonRef owner, DaemonRef witness, RandomGenerator random) {
    return new RequestId(owner, witness, random.nextLong());
  }

  /** Parses the text form; returns empty if the text is not a request id. */
  public static Optional<RequestId> parse(String text) {
    String[] parts = text.split(SEPARATOR, -1);
    if (parts.length != PARTS || !parts[0].equals(VERSION)) {
      return Optional.empty();
    }
    try {
      DaemonRef owner = new DaemonRef(parts[1], Long.parseLong(parts[2], RADIX));
      DaemonRef witness = new DaemonRef(parts[3], Long.parseLong(parts[4], RADIX));
      return Optional.of(new RequestId(owner, witness, Long.parseUnsignedLong(parts[5], RADIX)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return String.join(
        SEPARATOR,
        VERSION,
        owner.id(),
        Long.toString(owner.incarnation(), RADIX),
        witness.id(),
        Long.toString(witness.incarnation(), RADIX),
        Long.toUnsignedString(nonce, RADIX));
  }
}
