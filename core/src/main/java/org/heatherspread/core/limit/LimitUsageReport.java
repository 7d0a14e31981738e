package org.heatherspread.core.limit;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * What one daemon tells the others of its use of all accounts' limits. Immutable.
 *
 * <p>Bytes: version (1 byte, 1), number of round (8), number of accounts (2), then for each account
 * the length of its name in UTF-8 (1) and the name, and six floats (4 each): demand, then share,
 * each as requests, tokens, concurrency. Readers reject what is longer or shorter.
 *
 * @param round grows with each report of a daemon's process
 * @param accounts usage by account name
 */
public record LimitUsageReport(long round, Map<String, LimitUsage> accounts) {
  private static final byte VERSION = 1;
  private static final int HEADER_BYTES = 11;
  private static final int USAGE_BYTES = 6 * Float.BYTES;
  private static final int LONGEST_NAME = 255;

  /** Copies the map, so that the record stays immutable. */
  public LimitUsageReport {
    accounts = Map.copyOf(accounts);
  }

  /** Returns the bytes. */
  public byte[] encode() {
    Map<String, byte[]> names = new HashMap<>();
    int size = HEADER_BYTES;
    for (String account : accounts.keySet()) {
      byte[] name = account.getBytes(StandardCharsets.UTF_8);
      if (name.length <= LONGEST_NAME) {
        names.put(account, name);
        size += 1 + name.length + USAGE_BYTES;
      }
    }
    ByteBuffer out = ByteBuffer.allocate(size);
    out.put(VERSION).putLong(round).putShort((short) names.size());
    names.forEach(
        (account, name) -> {
          out.put((byte) name.length).put(name);
          put(out, accounts.get(account).demand());
          put(out, accounts.get(account).share());
        });
    return out.array();
  }

  private static void put(ByteBuffer out, ResourceAmounts amounts) {
    out.putFloat((float) amounts.requests());
    out.putFloat((float) amounts.tokens());
    out.putFloat((float) amounts.concurrency());
  }

  /**
   * Reads a report.
   *
   * @throws IllegalArgumentException where the bytes are no report
   */
  public static LimitUsageReport decode(byte[] bytes) {
    ByteBuffer in = ByteBuffer.wrap(bytes);
    try {
      if (in.get() != VERSION) {
        throw new IllegalArgumentException("unknown version of a usage report");
      }
      long round = in.getLong();
      int count = Short.toUnsignedInt(in.getShort());
      Map<String, LimitUsage> accounts = new HashMap<>();
      for (int i = 0; i < count; i++) {
        byte[] name = new byte[Byte.toUnsignedInt(in.get())];
        in.get(name);
        ResourceAmounts demand = amounts(in);
        accounts.put(new String(name, StandardCharsets.UTF_8), new LimitUsage(demand, amounts(in)));
      }
      if (in.hasRemaining()) {
        throw new IllegalArgumentException("bytes after the end of a usage report");
      }
      return new LimitUsageReport(round, accounts);
    } catch (BufferUnderflowException e) {
      throw new IllegalArgumentException("usage report is cut", e);
    }
  }

  private static ResourceAmounts amounts(ByteBuffer in) {
    return new ResourceAmounts(figure(in), figure(in), figure(in));
  }

  private static double figure(ByteBuffer in) {
    float value = in.getFloat();
    if (!Float.isFinite(value) || value < 0) {
      throw new IllegalArgumentException("figure of a usage report is out of range");
    }
    return value;
  }
}
