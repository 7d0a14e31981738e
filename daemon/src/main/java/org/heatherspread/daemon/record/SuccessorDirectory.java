package org.heatherspread.daemon.record;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.heatherspread.core.membership.Dissemination;
import org.heatherspread.core.membership.SharedEntry;
import org.heatherspread.core.record.DaemonRef;

/**
 * Tells all daemons who holds the records of a daemon that stopped or was lost. Soft state: without
 * it the outcome of a call is {@code UNKNOWN} or a stream is not found, never wrong.
 *
 * <p>Immutable; safe for use by any thread.
 */
final class SuccessorDirectory {
  private final Dissemination dissemination;
  private final String topic;
  private final String publisher;
  private final Duration lifetime;

  SuccessorDirectory(
      Dissemination dissemination, String topic, String publisher, Duration lifetime) {
    this.dissemination = dissemination;
    this.topic = topic;
    this.publisher = publisher;
    this.lifetime = lifetime;
  }

  /** Publishes that a daemon holds what a former one kept for the publisher, or all it kept. */
  void publish(DaemonRef former, String successorId) {
    byte[] value = successorId.getBytes(StandardCharsets.UTF_8);
    dissemination.publish(topic, prefix(former) + publisher, value, lifetime);
  }

  /** Returns the instance ids of the daemons that may hold what a former one kept. */
  List<String> successors(DaemonRef former) {
    List<String> ids = new ArrayList<>();
    for (SharedEntry entry : dissemination.entries(topic)) {
      String id = new String(entry.value(), StandardCharsets.UTF_8);
      if (entry.key().startsWith(prefix(former)) && !ids.contains(id)) {
        ids.add(id);
      }
    }
    return ids;
  }

  private static String prefix(DaemonRef daemon) {
    return daemon.id() + "~" + daemon.incarnation() + "/";
  }
}
