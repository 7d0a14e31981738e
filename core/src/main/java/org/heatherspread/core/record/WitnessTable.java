package org.heatherspread.core.record;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

/**
 * Records for which this incarnation of a daemon is the witness.
 *
 * <p>Invariants: an id for which the table has reported {@code NOT_RUN} without a report from its
 * owner is never acknowledged afterwards; for an acknowledged id it reports {@code NOT_RUN} only
 * after its owner did. Thread-safe; all methods are short and hold one lock.
 */
public final class WitnessTable {
  private final DaemonRef self;
  private final RecordMap records;
  private boolean sealed;

  private WitnessTable(DaemonRef self, InstantSource clock, RecordLimits limits) {
    this.self = self;
    this.records = new RecordMap(clock, limits);
  }

  /** Creates the empty table of a newly started daemon. */
  public static WitnessTable create(DaemonRef self, InstantSource clock, RecordLimits limits) {
    return new WitnessTable(self, clock, limits);
  }

  /**
   * Records that the owner is about to dispatch a call. {@code ADMITTED} is the acknowledgement; it
   * may be repeated for a duplicated message, because the owner uses it only once.
   */
  public synchronized AdmissionResult acknowledgeDispatch(CallDescriptor call) {
    records.advanceTime();
    if (!call.id().witness().equals(self)) {
      return AdmissionResult.NOT_KEEPER;
    }
    CallRecord callRecord = records.get(call.id());
    if (callRecord != null) {
      return callRecord.isEnded() || !callRecord.call().sameCall(call)
          ? AdmissionResult.CLOSED
          : AdmissionResult.ADMITTED;
    }
    if (sealed) {
      return AdmissionResult.SEALED;
    }
    if (records.isExpired(call)) {
      return AdmissionResult.EXPIRED;
    }
    if (records.isFull()) {
      return AdmissionResult.FULL;
    }
    records.put(call, new CallRecord(call));
    return AdmissionResult.ADMITTED;
  }

  /** Records the outcome that the owner reports. Only a missing or unknown outcome is replaced. */
  public synchronized void recordOutcome(CallDescriptor call, CallOutcome outcome) {
    records.advanceTime();
    if (!call.id().witness().equals(self)) {
      return;
    }
    CallRecord callRecord = records.get(call.id());
    if (callRecord == null) {
      addEnded(call, outcome);
      return;
    }
    boolean replaceable =
        !callRecord.isEnded() || callRecord.outcome().state() == CallState.UNKNOWN;
    if (replaceable && callRecord.call().sameCall(call)) {
      records.end(callRecord, outcome);
    }
  }

  private void addEnded(CallDescriptor call, CallOutcome outcome) {
    if (sealed || records.isExpired(call) || records.isFull()) {
      return;
    }
    CallRecord callRecord = new CallRecord(call);
    records.put(call, callRecord);
    records.end(callRecord, outcome);
  }

  /**
   * Returns the outcome of a call whose owner is lost. An unknown id is closed first, so that
   * {@code NOT_RUN} stays true; an acknowledged id without an outcome is {@code UNKNOWN}.
   */
  public synchronized CallOutcome resolve(CallDescriptor call) {
    records.advanceTime();
    if (!call.id().witness().equals(self)) {
      return CallOutcome.notHeld();
    }
    CallRecord callRecord = records.get(call.id());
    if (callRecord != null) {
      return outcomeFor(callRecord, call);
    }
    if (records.isExpired(call) || records.isFull()) {
      return CallOutcome.unknown();
    }
    CallRecord closed = new CallRecord(call);
    records.put(call, closed);
    closed.end(CallOutcome.notRun());
    return CallOutcome.notRun();
  }

  private static CallOutcome outcomeFor(CallRecord callRecord, CallDescriptor call) {
    if (!callRecord.call().sameCall(call)) {
      return CallOutcome.otherRequest();
    }
    return callRecord.isEnded() ? callRecord.outcome() : CallOutcome.unknown();
  }

  /** Returns the outcome of a call without closing an unknown id. */
  public synchronized CallOutcome peek(RequestId id, String account) {
    records.advanceTime();
    CallRecord callRecord = records.get(id);
    if (callRecord == null) {
      return CallOutcome.notHeld();
    }
    if (!callRecord.call().account().equals(account)) {
      return CallOutcome.otherRequest();
    }
    return callRecord.isEnded() ? callRecord.outcome() : CallOutcome.unknown();
  }

  /** Stops acknowledging calls; outcomes of acknowledged calls are still recorded. */
  public synchronized void seal() {
    sealed = true;
  }

  /** Returns the number of acknowledged calls without an outcome. */
  public synchronized int pendingCount() {
    int count = 0;
    for (CallRecord callRecord : records.values()) {
      count += callRecord.isEnded() ? 0 : 1;
    }
    return count;
  }

  /**
   * Returns all records of a sealed table. Because nothing is acknowledged after the seal, an id
   * that is missing from the set never runs, unless it had expired before the seal.
   *
   * @throws IllegalStateException if the table is not sealed
   */
  public synchronized SealedSet snapshot() {
    if (!sealed) {
      throw new IllegalStateException("table is not sealed");
    }
    records.advanceTime();
    List<SealedRecord> all = new ArrayList<>();
    for (CallRecord callRecord : records.values()) {
      CallOutcome outcome = callRecord.isEnded() ? callRecord.outcome() : CallOutcome.unknown();
      all.add(new SealedRecord(callRecord.call(), outcome));
    }
    return new SealedSet(self, records.nowMillis(), all);
  }

  /** Returns the current counts. */
  public synchronized RecordCounts counts() {
    return records.counts();
  }
}
