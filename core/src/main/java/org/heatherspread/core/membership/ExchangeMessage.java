package org.heatherspread.core.membership;

import java.util.List;
import java.util.Map;
import org.heatherspread.core.config.LogEntry;

/**
 * What one daemon tells another, as a request or as the reply to one. Immutable; lists may be
 * empty.
 *
 * @param senderId instance id of the sender
 * @param senderIncarnation incarnation of the sender
 * @param configVersion version of the configuration in force at the sender
 * @param root sum over all items of the sender; 0 where it does not ask to compare
 * @param sums sums of the buckets, where the roots differ
 * @param buckets fingerprints of all items in some buckets, to be compared one by one
 * @param wants fingerprints of items that the sender lacks and asks for
 * @param spread whether the receiver is to pass the items on; not where they only repair it
 * @param members records to take over
 * @param entries shared entries to take over
 * @param log entries of the configuration log to take over
 */
@SuppressWarnings("ArrayRecordComponent")
public record ExchangeMessage(
    String senderId,
    long senderIncarnation,
    long configVersion,
    long root,
    int[] sums,
    Map<Integer, long[]> buckets,
    long[] wants,
    boolean spread,
    List<MemberRecord> members,
    List<SharedEntry> entries,
    List<LogEntry> log) {
  /** Tells whether the message carries anything to take over. */
  public boolean carriesItems() {
    return !members.isEmpty() || !entries.isEmpty() || !log.isEmpty();
  }
}
