package org.heatherspread.core.membership;

import java.util.List;
import java.util.Map;
import org.heatherspread.core.config.LogEntry;

/** Builds one message; confined to the call that makes it. */
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

  /** Starts an empty message of a daemon. */
  public ExchangeMessageBuilder(String senderId, long senderIncarnation, long configVersion) {
    this.senderId = senderId;
    this.senderIncarnation = senderIncarnation;
    this.configVersion = configVersion;
  }

  /** Asks to compare all items. */
  public ExchangeMessageBuilder root(long value) {
    root = value;
    return this;
  }

  /** Tells the sums of all buckets. */
  public ExchangeMessageBuilder sums(int[] value) {
    sums = value;
    return this;
  }

  /** Asks to compare some buckets item by item. */
  public ExchangeMessageBuilder buckets(Map<Integer, long[]> value) {
    buckets = Map.copyOf(value);
    return this;
  }

  /** Asks for items by fingerprint. */
  public ExchangeMessageBuilder wants(long[] value) {
    wants = value;
    return this;
  }

  /** Tells whether the receiver is to pass the items on. */
  public ExchangeMessageBuilder spread(boolean value) {
    spread = value;
    return this;
  }

  /** Sends items to take over. */
  public ExchangeMessageBuilder items(List<MemberRecord> records, List<SharedEntry> shared) {
    members = List.copyOf(records);
    entries = List.copyOf(shared);
    return this;
  }

  /** Sends entries of the configuration log. */
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
