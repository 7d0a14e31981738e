package org.heatherspread.core.limit;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * A daemon's report of its demand on, and shares of, the limits of all accounts. Immutable.
 *
 * <p>Encoding, big-endian: version (1 byte, value 1), round (8 bytes), number of accounts (2), then
 * for each account the length of its name in UTF-8 (1), the name, and six floats (4 each):
 * requests, tokens and concurrency of the demand, then of the share. Missing and trailing bytes are
 * errors.
 *
 * @param round increases with each report of a daemon process
 * @param accounts usage by account name
 */
public record LimitUsageReport(long round, Map<String, LimitUsage> accounts) {
  private static final byte VERSION = 1;
  private static final int HEADER_BYTES = 11;
  private static final int USAGE_BYTES = 6 * Float.BYTES;
  private static final int MAX_NAME_BYTES = 255;

  /** Copies the map. */
  public LimitUsageReport {
    accounts = Map.copyOf(accounts);
  }

  /** Encodes the report; accounts with names longer than 255 bytes are left out. */
  public byte[] encode() {
    Map<String, byte[]> names = new HashMap<>();
    int size = HEADER_BYTES;
    for (String account : accounts.keySet()) {
      byte[] name = account.getBytes(StandardCharsets.UTF_8);
      if (name.length <= MAX_NAME_BYTES) {
        names.put(account, name);
        size += 1 + name.length + USAGE_BYTES;
      }
    }
    ByteBuffer out = ByteBuffer.allocate(size);
    out.put(VERSION).putLong(round).putShort((short) names.size());
    names.forEach(
        (account, name) -> {
          out.put((byte) name.length).put(name);
          putAmounts(out, accounts.get(account).demand());
          putAmounts(out, accounts.get(account).share());
        });
    return out.array();
  }

  private static void putAmounts(ByteBuffer out, ResourceAmounts amounts) {
    out.putFloat((float) amounts.requests());
    out.putFloat((float) amounts.tokens());
    out.putFloat((float) amounts.concurrency());
  }

  /**
   * Decodes a report.
   *
   * @throws IllegalArgumentException if the bytes are malformed
   */
  public static LimitUsageReport decode(byte[] bytes) {
    ByteBuffer in = ByteBuffer.wrap(bytes);
    try {
      if (in.get() != VERSION) {
        throw new IllegalArgumentException("limit usage report: unsupported version");
      }
      long round = in.getLong();
      int count = Short.toUnsignedInt(in.getShort());
      Map<String, LimitUsage> accounts = new HashMap<>();
      for (int i = 0; i < count; i++) {
        byte[] name = new byte[Byte.toUnsignedInt(in.get())];
        in.get(name);
        ResourceAmounts demand = readAmounts(in);
        accounts.put(
            new String(name, StandardCharsets.UTF_8), new LimitUsage(demand, readAmounts(in)));
      }
      if (in.hasRemaining()) {
        throw new IllegalArgumentException("limit usage report: trailing bytes");
      }
      return new LimitUsageReport(round, accounts);
    } catch (BufferUnderflowException e) {
      throw new IllegalArgumentException("limit usage report: truncated", e);
    }
  }

  private static ResourceAmounts readAmounts(ByteBuffer in) {
    return new ResourceAmounts(readValue(in), readValue(in), readValue(in));
  }

  private static double readValue(ByteBuffer in) {
    float value = in.getFloat();
    if (!Float.isFinite(value) || value < 0) {
      throw new IllegalArgumentException("limit usage report: amount is negative or not finite");
    }
    return value;
  }
}
