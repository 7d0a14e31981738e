package org.heatherspread.daemon.record;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.heatherspread.core.membership.Dissemination;
import org.heatherspread.core.membership.SharedEntry;
import org.heatherspread.core.record.DaemonRef;

/**
 * Publishes to all daemons which daemon holds the records of one that stopped or was lost.
 *
 * <p>The entries are soft state: if they are lost, the outcome of a call is {@code UNKNOWN} or a
 * stream is not found, but no result is wrong. Immutable and thread-safe.
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

  /**
   * Publishes the daemon that now holds records of a predecessor: all of them, or those that this
   * daemon had stored there.
   */
  void publish(DaemonRef predecessor, String successorId) {
    byte[] value = successorId.getBytes(StandardCharsets.UTF_8);
    dissemination.publish(topic, keyPrefix(predecessor) + publisher, value, lifetime);
  }

  /** Returns the instance ids of the daemons that may hold records of a predecessor. */
  List<String> successors(DaemonRef predecessor) {
    List<String> ids = new ArrayList<>();
    for (SharedEntry entry : dissemination.entries(topic)) {
      String id = new String(entry.value(), StandardCharsets.UTF_8);
      if (entry.key().startsWith(keyPrefix(predecessor)) && !ids.contains(id)) {
        ids.add(id);
      }
    }
    return ids;
  }

  private static String keyPrefix(DaemonRef daemon) {
    return daemon.id() + "~" + daemon.incarnation() + "/";
  }
}
