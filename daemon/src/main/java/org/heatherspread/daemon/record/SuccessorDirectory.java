package org.heatherspread.daemon.record;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.heatherspread.core.membership.Dissemination;
import org.heatherspread.core.membership.SharedEntry;
import org.heatherspread.core.record.DaemonRef;

/**
 * Tells all daemons who holds the records of a daemon that stopped. Soft state: without it the
 * outcome of a call is {@code UNKNOWN} or a stream is not found, never wrong. Immutable; safe for
 * use by any thread.
 */
final class SuccessorDirectory {
  private static final String TOPIC = "records";

  private final Dissemination dissemination;
  private final Duration lifetime;

  SuccessorDirectory(Dissemination dissemination, Duration lifetime) {
    this.dissemination = dissemination;
    this.lifetime = lifetime;
  }

  /** Publishes that a daemon holds what a former one kept. */
  void publish(DaemonRef former, String successorId) {
    byte[] value = successorId.getBytes(StandardCharsets.UTF_8);
    dissemination.publish(TOPIC, key(former), value, lifetime);
  }

  /** Returns the instance ids of the daemons that may hold what a former one kept. */
  List<String> successors(DaemonRef former) {
    List<String> ids = new ArrayList<>();
    for (SharedEntry entry : dissemination.entries(TOPIC)) {
      if (entry.key().equals(key(former))) {
        ids.add(new String(entry.value(), StandardCharsets.UTF_8));
      }
    }
    return ids;
  }

  private static String key(DaemonRef daemon) {
    return daemon.id() + "~" + daemon.incarnation();
  }
}
