package org.heatherspread.core.membership;

import java.util.List;
import java.util.Map;
import org.heatherspread.core.config.LogEntry;

/** Builds an {@link ExchangeMessage}. Not thread-safe. */
public final class ExchangeMessageBuilder {
  private final String senderId;
  private final long senderIncarnation;
  private final long configVersion;
  private long root;
  private int[] sums = {};
  private Map<Integer, long[]> buckets = Map.of();
  private long[] wants = {};
  private boolean spread;
  private List<MemberRecord> members = List.of();
  private List<SharedEntry> entries = List.of();
  private List<LogEntry> log = List.of();

  /** Creates a builder of an empty message. */
  public ExchangeMessageBuilder(String senderId, long senderIncarnation, long configVersion) {
    this.senderId = senderId;
    this.senderIncarnation = senderIncarnation;
    this.configVersion = configVersion;
  }

  /** Requests a comparison of all items by the sum over the sender's items. */
  public ExchangeMessageBuilder root(long value) {
    root = value;
    return this;
  }

  /** Sets the sums of all buckets. */
  public ExchangeMessageBuilder sums(int[] value) {
    sums = value;
    return this;
  }

  /** Requests a comparison of some buckets item by item. */
  public ExchangeMessageBuilder buckets(Map<Integer, long[]> value) {
    buckets = Map.copyOf(value);
    return this;
  }

  /** Requests items by fingerprint. */
  public ExchangeMessageBuilder wants(long[] value) {
    wants = value;
    return this;
  }

  /** Sets whether the receiver pushes the items on. */
  public ExchangeMessageBuilder spread(boolean value) {
    spread = value;
    return this;
  }

  /** Sets the records and shared entries to apply. */
  public ExchangeMessageBuilder items(List<MemberRecord> records, List<SharedEntry> shared) {
    members = List.copyOf(records);
    entries = List.copyOf(shared);
    return this;
  }

  /** Sets the entries of the configuration log to apply. */
  public ExchangeMessageBuilder log(List<LogEntry> value) {
    log = List.copyOf(value);
    return this;
  }

  /** Returns the message. */
  public ExchangeMessage build() {
    return new ExchangeMessage(
        senderId,
        senderIncarnation,
        configVersion,
        root,
        sums,
        buckets,
        wants,
        spread,
        members,
        entries,
        log);
  }
}
