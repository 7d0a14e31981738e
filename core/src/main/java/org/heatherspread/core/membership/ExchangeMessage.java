package org.heatherspread.core.membership;

import java.util.List;
import java.util.Map;
import org.heatherspread.core.config.LogEntry;

/**
 * A request or reply exchanged between two daemons. Immutable; collections may be empty.
 *
 * @param senderId instance id of the sender
 * @param senderIncarnation incarnation of the sender
 * @param configVersion version of the configuration in force at the sender
 * @param root sum over all items of the sender; 0 if no comparison is requested
 * @param sums sums of the buckets, sent if the roots differ
 * @param buckets fingerprints of all items in some buckets, to be compared one by one
 * @param wants fingerprints of items that the sender lacks and requests
 * @param spread whether the receiver pushes the items on; false for items that only repair its
 *     state
 * @param members records to apply
 * @param entries shared entries to apply
 * @param log entries of the configuration log to apply
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
  /** Returns whether the message carries members, entries or log entries. */
  public boolean carriesItems() {
    return !members.isEmpty() || !entries.isEmpty() || !log.isEmpty();
  }
}
