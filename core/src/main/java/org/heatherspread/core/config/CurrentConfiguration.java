package org.heatherspread.core.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Holds the current configuration of a daemon, and recent log entries for peers that lack them.
 *
 * <p>The version never decreases, regardless of the order in which updates arrive. The recent
 * entries have no gaps and end with the current version. Thread-safe; {@link #get} does not lock.
 */
public final class CurrentConfiguration implements Supplier<Configuration> {
  private static final int MAX_RECENT_ENTRIES = 256;

  private final Deque<LogEntry> recent = new ArrayDeque<>();
  private volatile Configuration current = Configuration.empty();
  private volatile boolean initialized;

  private CurrentConfiguration() {}

  /** Creates an uninitialized instance with an empty configuration. */
  public static CurrentConfiguration create() {
    return new CurrentConfiguration();
  }

  @Override
  public Configuration get() {
    return current;
  }

  /** Returns whether a configuration was received from the table service or a peer. */
  public boolean isInitialized() {
    return initialized;
  }

  /**
   * Applies the entries that follow the current version and skips older ones.
   *
   * @return false if entries could not be applied because of a gap
   */
  public synchronized boolean offer(List<LogEntry> entries) {
    Configuration next = current;
    boolean gap = false;
    for (LogEntry entry : entries) {
      if (entry.version() <= next.version()) {
        continue;
      }
      if (entry.version() != next.version() + 1) {
        gap = true;
        break;
      }
      next = Change.applyAll(next, entry.changes(), entry.version());
      addRecent(entry);
    }
    if (next.version() > current.version()) {
      current = next;
      initialized = true;
    }
    return !gap;
  }

  /**
   * Replaces the current configuration if the given one is newer, or the first one received.
   *
   * @return whether the given configuration was accepted
   */
  public synchronized boolean offer(Configuration configuration) {
    if (configuration.version() < current.version()) {
      return false;
    }
    boolean newer = configuration.version() > current.version();
    if (newer) {
      current = configuration;
      recent.clear();
    }
    boolean accepted = newer || !initialized;
    initialized = true;
    return accepted;
  }

  /** Returns the entries after a version, or empty if some of them are no longer available. */
  public synchronized Optional<List<LogEntry>> entriesAfter(long version) {
    if (version >= current.version()) {
      return Optional.of(List.of());
    }
    if (recent.isEmpty() || recent.peekFirst().version() > version + 1) {
      return Optional.empty();
    }
    List<LogEntry> result = new ArrayList<>();
    for (LogEntry entry : recent) {
      if (entry.version() > version) {
        result.add(entry);
      }
    }
    return Optional.of(result);
  }

  private void addRecent(LogEntry entry) {
    recent.addLast(entry);
    if (recent.size() > MAX_RECENT_ENTRIES) {
      recent.removeFirst();
    }
  }
}
