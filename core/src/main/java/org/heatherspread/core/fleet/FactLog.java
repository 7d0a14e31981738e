package org.heatherspread.core.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Recent facts that daemons have learned in passing and that all of them should act on, such as
 * limits that endpoints name.
 *
 * <p>Facts travel with the exchange of loads: from each daemon to the reader of its group, between
 * the readers, and back to the daemons of each group. Each daemon therefore sends and receives one
 * message at a time however many daemons there are, and every fact arrives within a few exchanges.
 * A partner continues after the position that it received last; if the log no longer reaches back
 * so far, or belongs to another process, it receives all that is retained. Invariant: a fact is
 * added at most once while it is retained. Confined to one thread.
 */
public final class FactLog {
  private final String id;
  private final String self;
  private final long retentionMillis;
  private final int maxFacts;
  private final Deque<Entry> entries = new ArrayDeque<>();
  private final Set<FactId> known = new HashSet<>();
  private long addedCount;
  private long ownCount;

  private FactLog(String id, String self, long retentionMillis, int maxFacts) {
    this.id = id;
    this.self = self;
    this.retentionMillis = retentionMillis;
    this.maxFacts = maxFacts;
  }

  /**
   * Creates an empty log.
   *
   * @param id random number of the process
   * @param self name of this daemon
   * @param retentionMillis age at which facts are dropped
   * @param maxFacts number of facts beyond which the oldest ones are dropped
   */
  public static FactLog create(String id, String self, long retentionMillis, int maxFacts) {
    return new FactLog(id, self, retentionMillis, maxFacts);
  }

  /**
   * A fact. Immutable; sent as JSON under the names of its components.
   *
   * @param origin name of the daemon that learned it
   * @param process random number of that daemon's process
   * @param number number of the fact in that process
   * @param kind kind of fact, which determines the meaning of the content
   * @param content JSON text
   * @param ageMillis time since the fact was learned
   */
  public record Fact(
      String origin, String process, long number, String kind, String content, long ageMillis) {
    private Fact withAge(long millis) {
      return new Fact(origin, process, number, kind, content, millis);
    }
  }

  /**
   * A position in the log of a process.
   *
   * @param log random number of the process
   */
  public record Position(String log, long count) {
    /** The position before all facts of any log. */
    public static final Position START = new Position("", 0);
  }

  /** Facts after a position, and the position after them. Immutable. */
  public record Batch(Position end, List<Fact> facts) {
    /** Copies the list to keep the record immutable. */
    public Batch {
      facts = List.copyOf(facts);
    }
  }

  /** Adds a fact that this daemon has learned. */
  public void addOwn(String kind, String content, long nowMillis) {
    ownCount++;
    add(new Fact(self, id, ownCount, kind, content, 0), true, nowMillis);
  }

  /**
   * Adds a fact of another daemon.
   *
   * @param ofGroup whether it comes from a daemon of this daemon's group rather than by another
   *     reader, so that this daemon passes it on to other readers
   * @return false if it is known
   */
  public boolean add(Fact fact, boolean ofGroup, long nowMillis) {
    FactId factId = FactId.of(fact);
    if (fact.ageMillis() > retentionMillis || !known.add(factId)) {
      return false;
    }
    addedCount++;
    entries.addLast(new Entry(fact, factId, ofGroup, nowMillis - fact.ageMillis(), addedCount));
    removeOld(nowMillis);
    return true;
  }

  private void removeOld(long nowMillis) {
    while (!entries.isEmpty()) {
      Entry oldest = entries.getFirst();
      if (entries.size() <= maxFacts && nowMillis - oldest.learnedMillis <= retentionMillis) {
        return;
      }
      entries.removeFirst();
      known.remove(oldest.id);
    }
  }

  /** Returns the facts of this daemon after a position. */
  public Batch ownAfter(Position after, long nowMillis) {
    return after(after, nowMillis, entry -> entry.fact.origin().equals(self));
  }

  /** Returns the facts of this daemon's group after a position. */
  public Batch ofGroupAfter(Position after, long nowMillis) {
    return after(after, nowMillis, entry -> entry.ofGroup);
  }

  /** Returns the facts of all daemons but one after a position. */
  public Batch othersAfter(Position after, String daemon, long nowMillis) {
    return after(after, nowMillis, entry -> !entry.fact.origin().equals(daemon));
  }

  private Batch after(Position after, long nowMillis, Selection selection) {
    removeOld(nowMillis);
    long from = after.log().equals(id) ? after.count() : 0;
    List<Fact> facts = new ArrayList<>();
    for (Entry entry : entries) {
      if (entry.number > from && selection.includes(entry)) {
        facts.add(entry.fact.withAge(nowMillis - entry.learnedMillis));
      }
    }
    return new Batch(new Position(id, addedCount), facts);
  }

  private interface Selection {
    boolean includes(Entry entry);
  }

  private record FactId(String process, long number) {
    private static FactId of(Fact fact) {
      return new FactId(fact.process(), fact.number());
    }
  }

  private record Entry(Fact fact, FactId id, boolean ofGroup, long learnedMillis, long number) {}
}
