package org.heatherspread.daemon.chat;

import org.heatherspread.daemon.limit.Admission;
import org.heatherspread.daemon.record.RecordHandle;
import org.heatherspread.daemon.record.RecordProgress;

/**
 * Initial state of a session. Immutable.
 *
 * @param account client account name
 * @param call request to serve
 * @param record handle of the request record, owned by this daemon
 * @param grant admission grant, released when the session ends
 * @param progress progress made by a previous owner
 * @param callerOffset number of response tokens that the caller already has
 */
record SessionStart(
    String account,
    ChatCall call,
    RecordHandle record,
    Admission.Grant grant,
    RecordProgress progress,
    long callerOffset) {}
