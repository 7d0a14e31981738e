package org.heatherspread.core.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The configuration in force at one daemon, and the latest entries of the log for peers that lack
 * them.
 *
 * <p>Invariants: the version never goes down, whatever is offered in whatever order; the recent
 * entries have no gaps and end with the version in force. Safe for use by any thread; {@link #get}
 * takes no lock.
 */
public final class CurrentConfiguration implements Supplier<Configuration> {
  private static final int MAX_RECENT_ENTRIES = 256;

  private final Deque<LogEntry> recent = new ArrayDeque<>();
  private volatile Configuration current = Configuration.empty();
  private volatile boolean initialized;

  private CurrentConfiguration() {}

  /** Creates a daemon's empty state; it is not known until something confirmed is offered. */
  public static CurrentConfiguration create() {
    return new CurrentConfiguration();
  }

  @Override
  public Configuration get() {
    return current;
  }

  /** Tells whether the state came from the table service or a peer, and not from an empty start. */
  public boolean isInitialized() {
    return initialized;
  }

  /**
   * Applies the entries that follow the version in force and skips those already applied.
   *
   * @return false if a gap remains, so that some entries could not be applied
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
      remember(entry);
    }
    if (next.version() > current.version()) {
      current = next;
      initialized = true;
    }
    return !gap;
  }

  /**
   * Takes a whole configuration over if it is newer, or if nothing is known yet.
   *
   * @return whether it was taken over
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
    boolean taken = newer || !initialized;
    initialized = true;
    return taken;
  }

  /** Returns the entries after a version, or empty if some of them are no longer kept. */
  public synchronized Optional<List<LogEntry>> entriesAfter(long version) {
    if (version >= current.version()) {
      return Optional.of(List.of());
    }
    if (recent.isEmpty() || recent.peekFirst().version() > version + 1) {
      return Optional.empty();
    }
    List<LogEntry> found = new ArrayList<>();
    for (LogEntry entry : recent) {
      if (entry.version() > version) {
        found.add(entry);
      }
    }
    return Optional.of(found);
  }

  private void remember(LogEntry entry) {
    recent.addLast(entry);
    if (recent.size() > MAX_RECENT_ENTRIES) {
      recent.removeFirst();
    }
  }
}
