package org.heatherspread.daemon.chat;

import org.heatherspread.daemon.limit.Admission;
import org.heatherspread.daemon.record.RecordHandle;
import org.heatherspread.daemon.record.RecordProgress;

/**
 * Where a session begins. Immutable.
 *
 * @param account name of the client account
 * @param call the call to serve
 * @param record this daemon's hold on the request's record
 * @param grant what admission granted
 * @param progress how far an earlier owner came
 * @param callerOffset answer tokens that the caller holds
 */
record SessionStart(
    String account,
    ChatCall call,
    RecordHandle record,
    Admission.Grant grant,
    RecordProgress progress,
    long callerOffset) {}
