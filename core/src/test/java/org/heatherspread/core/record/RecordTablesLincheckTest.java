package org.heatherspread.core.record;

import java.time.Duration;
import java.util.List;
import org.heatherspread.core.time.ManualClock;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/** Checks that the record tables are linearizable. */
class RecordTablesLincheckTest {
  private static final DaemonRef OWNER = new DaemonRef("owner", 1);
  private static final DaemonRef WITNESS = new DaemonRef("witness", 1);
  private static final RequestId ID = new RequestId(OWNER, WITNESS, 7);
  private static final CallDescriptor CALL = new CallDescriptor(ID, "account", "digest", 60_000);
  private static final CallOutcome RESPONSE =
      CallOutcome.answered(new CallResponse(200, List.of(), new byte[] {1}));

  private static ModelCheckingOptions options() {
    return new ModelCheckingOptions()
        .iterations(3)
        .invocationsPerIteration(25)
        .threads(2)
        .actorsPerThread(2)
        .actorsBefore(0)
        .actorsAfter(1);
  }

  /** Operations of the owner table. */
  public static class Owner {
    private final OwnerTable table =
        OwnerTable.create(OWNER, ManualClock.create(), RecordLimits.defaults());

    /** Begins the call. */
    @Operation
    public String begin() {
      return table.begin(CALL).name();
    }

    /** Acquires the right to dispatch. */
    @Operation
    public boolean mayDispatch() {
      return table.tryAcquireDispatch(ID);
    }

    /** Closes the call before dispatch. */
    @Operation
    public boolean close() {
      return table.closeBeforeDispatch(ID);
    }

    /** Ends the call with a response. */
    @Operation
    public boolean finish() {
      return table.finish(ID, RESPONSE);
    }

    /** Resolves a repeated call. */
    @Operation
    public String resolve() {
      return table.resolve(CALL).state().name();
    }
  }

  /** Operations of the witness table. */
  public static class Witness {
    private final WitnessTable table =
        WitnessTable.create(WITNESS, ManualClock.create(), RecordLimits.defaults());

    /** Acknowledges the dispatch. */
    @Operation
    public String dispatching() {
      return table.acknowledgeDispatch(CALL).name();
    }

    /** Records the outcome reported by the owner. */
    @Operation
    public void outcome() {
      table.recordOutcome(CALL, RESPONSE);
    }

    /** Resolves a call whose owner is lost. */
    @Operation
    public String close() {
      return table.resolve(CALL).state().name();
    }

    /** Seals the table. */
    @Operation
    public void seal() {
      table.seal();
    }

    /** Returns the number of records to hand over; -1 before the seal. */
    @Operation
    public int snapshot() {
      try {
        return table.snapshot().records().size();
      } catch (IllegalStateException e) {
        return -1;
      }
    }
  }

  /** Operations of the replica table. */
  public static class Streams {
    private final ReplicaTable<String> table = ReplicaTable.create(ManualClock.create(), 10, 1_000);

    /** Writes a replica. */
    @Operation
    public String keep(
        @Param(gen = IntGen.class, conf = "1:3") int epoch,
        @Param(gen = IntGen.class, conf = "1:3") int sequence) {
      return table
          .write(new Replica<>(ID, epoch, sequence, false, 1, 60_000, "owner", "value"))
          .name();
    }

    /** Closes the record. */
    @Operation
    public String close(
        @Param(gen = IntGen.class, conf = "1:3") int epoch,
        @Param(gen = IntGen.class, conf = "1:3") int sequence) {
      return table
          .write(new Replica<>(ID, epoch, sequence, true, 1, 60_000, "owner", "ended"))
          .name();
    }

    /** Takes the record over. */
    @Operation
    public long takeOver() {
      return table.takeOver(ID).map(Replica::epoch).orElse(0L);
    }

    /** Seals the table. */
    @Operation
    public int seal() {
      return table.seal().size();
    }
  }

  /** Operations of the archive of sealed sets. */
  public static class Archive {
    private final SealedArchive archive =
        SealedArchive.create(ManualClock.create(), RecordLimits.defaults());

    /** Stores a set with one record without an outcome. */
    @Operation
    public boolean accept() {
      SealedRecord open = new SealedRecord(CALL, CallOutcome.unknown());
      return archive.accept(new SealedSet(WITNESS, 1, List.of(open)), Duration.ofHours(1));
    }

    /** Records a late outcome. */
    @Operation
    public void outcome() {
      archive.recordOutcome(CALL, RESPONSE);
    }

    /** Resolves a call in place of the stopped witness. */
    @Operation
    public String resolve() {
      return archive.resolve(CALL).state().name();
    }
  }

  @Test
  void ownerTableIsLinearizable() {
    options().check(Owner.class);
  }

  @Test
  void witnessTableIsLinearizable() {
    options().check(Witness.class);
  }

  @Test
  void replicaTableIsLinearizable() {
    options().check(Streams.class);
  }

  @Test
  void sealedArchiveIsLinearizable() {
    options().check(Archive.class);
  }
}
