package org.heatherspread.daemon.record;

import java.time.InstantSource;
import org.heatherspread.core.record.DaemonRef;
import org.heatherspread.core.record.OwnerTable;
import org.heatherspread.core.record.RecordLimits;
import org.heatherspread.core.record.SealedArchive;
import org.heatherspread.core.record.WitnessTable;

/**
 * Call records of this incarnation of the daemon: of calls that it owns, of calls for which it is
 * the witness, and sets handed over by stopped witnesses. Immutable; the tables are thread-safe.
 */
record CallTables(DaemonRef self, OwnerTable owner, WitnessTable witness, SealedArchive archive) {
  static CallTables create(DaemonRef self, InstantSource clock, RecordLimits limits) {
    return new CallTables(
        self,
        OwnerTable.create(self, clock, limits),
        WitnessTable.create(self, clock, limits),
        SealedArchive.create(clock, limits));
  }
}
