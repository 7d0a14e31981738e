package org.heatherspread.core.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.heatherspread.core.time.MonotonicClock;

/**
 * The requests of one service that wait in a daemon.
 *
 * <p>Requests that can still meet their target come before those that can only be late. Among
 * these, more urgent ones come first, and accounts take turns within one urgency ({@link
 * AccountRounds}). A request is held only while the work before it is expected to be dispatched
 * within its bounds, which follow from its target and deadline.
 *
 * <p>Invariant: each offered request leaves exactly once, by a rejection from {@code offer} or
 * {@code expire}, by {@code poll}, or by {@code remove}. Confined to one thread.
 *
 * @param <T> type of the requests
 */
public final class RequestQueue<T> {
  /** Bounds the memory and the time for a check of all entries; far above what targets allow. */
  private static final int MAX_SIZE = 1_024;

  /**
   * Ratio by which the expected wait of an entry must exceed its bound before it is rejected after
   * all, so that changes of the measured rate do not reject requests that have waited.
   */
  private static final double RECHECK_RATIO = 1.5;

  private final MonotonicClock clock;
  private final DispatchRate rate = new DispatchRate();
  private final RetrySchedule retries = new RetrySchedule();
  private final Map<T, QueueEntry<T>> entries = new HashMap<>();
  private final TreeMap<Integer, AccountRounds<T>> onTime = new TreeMap<>();
  private final TreeMap<Integer, AccountRounds<T>> late = new TreeMap<>();
  private final PriorityQueue<QueueEntry<T>> byTarget =
      new PriorityQueue<>(
          Comparator.comparingLong((QueueEntry<T> entry) -> entry.request.onTimeUntilMillis()));

  private double blockedMillis;

  private RequestQueue(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Creates an empty queue. */
  public static <T> RequestQueue<T> create(MonotonicClock clock) {
    return new RequestQueue<>(clock);
  }

  /** Decides whether a request can be dispatched now. */
  @FunctionalInterface
  public interface RoomTest<T> {
    /**
     * Returns whether an endpoint has room for a request.
     *
     * @param late whether the request can no longer meet its target
     */
    boolean hasRoom(T item, boolean late);
  }

  /**
   * A rejected request.
   *
   * @param waitMillis expected wait
   * @param retryMillis time after which capacity is expected for a retry of the request
   */
  public record Rejection<T>(T item, RejectionCause cause, double waitMillis, double retryMillis) {}

  /**
   * A request to be dispatched.
   *
   * @param waitedMillis time for which it was queued
   */
  public record Dispatch<T>(T item, double workMillis, long waitedMillis) {}

  /**
   * Result of an offer.
   *
   * @param position number of requests that are expected to be dispatched before this one, at most
   * @param rejections requests that are not queued or no longer so, perhaps the offered one
   */
  public record Offer<T>(int position, List<Rejection<T>> rejections) {}

  /**
   * Sets the capacity on which expected waits are based.
   *
   * @param endpoints this daemon's share of the usable endpoints
   * @param blocked expected time until an endpoint has room
   */
  public void updateCapacity(double endpoints, double blocked) {
    rate.updateShare(endpoints);
    blockedMillis = blocked;
  }

  /** Returns the number of requests. */
  public int size() {
    return entries.size();
  }

  /** Returns whether no request waits. */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Returns the work of all requests, in endpoint milliseconds. */
  public double workMillis() {
    return work(onTime) + work(late);
  }

  private double work(TreeMap<Integer, AccountRounds<T>> tier) {
    return tier.values().stream().mapToDouble(AccountRounds::work).sum();
  }

  /**
   * Queues a request, or rejects it if it cannot be dispatched within its bounds. Less urgent
   * requests that cannot be dispatched within theirs any longer are rejected instead of it.
   */
  public Offer<T> offer(T item, QueuedRequest request) {
    long now = clock.millis();
    if (entries.containsKey(item)) {
      throw new IllegalArgumentException("request queued twice: " + item);
    }
    demoteLate(now);
    QueueEntry<T> entry = new QueueEntry<>(item, request, now);
    entry.late = now > request.onTimeUntilMillis();
    List<Rejection<T>> rejections = new ArrayList<>();
    if (entries.size() >= MAX_SIZE) {
      makeRoom(entry, now, rejections);
    }
    double wait = waitMillis(workBefore(entry), now);
    boolean delayed = entry.late || now > request.admittedUntilMillis();
    long bound = delayed ? request.heldUntilMillis() : request.admittedUntilMillis();
    Optional<RejectionCause> cause = cause(request, bound, wait, now);
    if (cause.isPresent() || entries.size() >= MAX_SIZE) {
      rejections.add(rejection(entry, cause.orElse(RejectionCause.BOUND), wait, now));
      return new Offer<>(entries.size(), rejections);
    }
    final int position = countBefore(entry);
    entries.put(item, entry);
    add(entry);
    rate.setBacklogged(true, now);
    recheck(entry, now, rejections);
    return new Offer<>(position, rejections);
  }

  private static Optional<RejectionCause> cause(
      QueuedRequest request, long boundMillis, double wait, long now) {
    if (now + wait > request.beginByMillis()) {
      return Optional.of(RejectionCause.DEADLINE);
    }
    return now + wait > boundMillis ? Optional.of(RejectionCause.BOUND) : Optional.empty();
  }

  private Rejection<T> rejection(QueueEntry<T> entry, RejectionCause cause, double wait, long now) {
    long remaining = Math.max(0, entry.request.beginByMillis() - now);
    double retry = retries.book(entry.work(), wait, rate.perMilli(now), remaining, now);
    return new Rejection<>(entry.item, cause, wait, retry);
  }

  private void add(QueueEntry<T> entry) {
    tier(entry)
        .computeIfAbsent(entry.request.urgency(), urgency -> new AccountRounds<>())
        .add(entry);
    if (!entry.late) {
      byTarget.add(entry);
    }
  }

  private TreeMap<Integer, AccountRounds<T>> tier(QueueEntry<T> entry) {
    return entry.late ? late : onTime;
  }

  /** Rejects the last of the least urgent requests if that is less urgent than an entry. */
  private void makeRoom(QueueEntry<T> entry, long now, List<Rejection<T>> rejections) {
    TreeMap<Integer, AccountRounds<T>> tier = late.isEmpty() ? onTime : late;
    List<QueueEntry<T>> last = new ArrayList<>();
    tier.lastEntry().getValue().forEachFromLast((found, before) -> last.add(found));
    QueueEntry<T> least = last.get(0);
    boolean lessUrgent = least.request.urgency() > entry.request.urgency();
    if (lessUrgent || (least.late && !entry.late)) {
      double wait = waitMillis(workMillis(), now);
      delete(least, now);
      rejections.add(rejection(least, RejectionCause.DISPLACED, wait, now));
    }
  }

  /** Returns the work that is dispatched before an entry that is not queued yet. */
  private double workBefore(QueueEntry<T> entry) {
    TreeMap<Integer, AccountRounds<T>> tier = tier(entry);
    int urgency = entry.request.urgency();
    double before = (entry.late ? work(onTime) : 0) + moreUrgentWork(tier, urgency);
    AccountRounds<T> same = tier.get(urgency);
    return before + (same == null ? 0 : same.workBefore(entry));
  }

  private double moreUrgentWork(TreeMap<Integer, AccountRounds<T>> tier, int urgency) {
    return tier.headMap(urgency).values().stream().mapToDouble(AccountRounds::work).sum();
  }

  private int countBefore(QueueEntry<T> entry) {
    int count = entry.late ? onTime.values().stream().mapToInt(AccountRounds::size).sum() : 0;
    return count
        + tier(entry).headMap(entry.request.urgency(), true).values().stream()
            .mapToInt(AccountRounds::size)
            .sum();
  }

  private double waitMillis(double workMillis, long now) {
    return blockedMillis + workMillis / rate.perMilli(now);
  }

  /** Rejects the entries that are dispatched after another and thus beyond their bounds. */
  private void recheck(QueueEntry<T> added, long now, List<Rejection<T>> rejections) {
    if (!added.late) {
      double moreUrgent = moreUrgentWork(onTime, added.request.urgency() + 1);
      recheck(onTime.tailMap(added.request.urgency(), false), moreUrgent, now, rejections);
      recheck(late, work(onTime), now, rejections);
      return;
    }
    double before = work(onTime) + moreUrgentWork(late, added.request.urgency() + 1);
    recheck(late.tailMap(added.request.urgency(), false), before, now, rejections);
  }

  private void recheck(
      Map<Integer, AccountRounds<T>> rounds,
      double workBefore,
      long now,
      List<Rejection<T>> rejections) {
    double before = workBefore;
    for (AccountRounds<T> accounts : List.copyOf(rounds.values())) {
      double base = before;
      accounts.forEachFromLast(
          (entry, work) -> {
            double wait = waitMillis(base + work, now);
            long bound = entry.request.heldUntilMillis();
            Optional<RejectionCause> cause = cause(entry.request, bound, wait / RECHECK_RATIO, now);
            if (cause.isPresent()) {
              RejectionCause reason =
                  cause.filter(RejectionCause.DEADLINE::equals).orElse(RejectionCause.DISPLACED);
              delete(entry, now);
              rejections.add(rejection(entry, reason, wait, now));
            }
          });
      before += accounts.work();
    }
  }

  /**
   * Takes the next request for which an endpoint has room. Requests without room do not hold up
   * others that have some.
   */
  public Optional<Dispatch<T>> poll(RoomTest<T> room) {
    long now = clock.millis();
    demoteLate(now);
    Optional<QueueEntry<T>> found = poll(onTime, room);
    if (found.isEmpty()) {
      found = poll(late, room);
    }
    if (found.isEmpty()) {
      return Optional.empty();
    }
    QueueEntry<T> entry = found.get();
    rate.recordDispatch(entry.work(), now);
    forget(entry, now);
    return Optional.of(new Dispatch<>(entry.item, entry.work(), now - entry.offeredMillis));
  }

  private Optional<QueueEntry<T>> poll(TreeMap<Integer, AccountRounds<T>> tier, RoomTest<T> room) {
    for (AccountRounds<T> accounts : tier.values()) {
      Optional<QueueEntry<T>> found = accounts.poll(entry -> room.hasRoom(entry.item, entry.late));
      if (found.isPresent()) {
        return found;
      }
    }
    return Optional.empty();
  }

  /** Rejects the requests that cannot be dispatched within their bounds any longer. */
  public List<Rejection<T>> expire() {
    long now = clock.millis();
    demoteLate(now);
    List<Rejection<T>> rejections = new ArrayList<>();
    recheck(onTime, 0, now, rejections);
    recheck(late, work(onTime), now, rejections);
    return rejections;
  }

  /** Removes a request whose caller left, whose deadline passed, or that ends otherwise. */
  public boolean remove(T item) {
    QueueEntry<T> entry = entries.get(item);
    if (entry == null) {
      return false;
    }
    delete(entry, clock.millis());
    return true;
  }

  private void delete(QueueEntry<T> entry, long now) {
    tier(entry).get(entry.request.urgency()).remove(entry);
    forget(entry, now);
  }

  private void forget(QueueEntry<T> entry, long now) {
    entries.remove(entry.item);
    entry.queued = false;
    TreeMap<Integer, AccountRounds<T>> tier = tier(entry);
    if (tier.get(entry.request.urgency()).isEmpty()) {
      tier.remove(entry.request.urgency());
    }
    if (entries.isEmpty()) {
      byTarget.clear();
      rate.setBacklogged(false, now);
    }
  }

  private void demoteLate(long now) {
    while (!byTarget.isEmpty()
        && (!byTarget.peek().queued || now > byTarget.peek().request.onTimeUntilMillis())) {
      QueueEntry<T> entry = byTarget.poll();
      if (!entry.queued) {
        continue;
      }
      AccountRounds<T> rounds = onTime.get(entry.request.urgency());
      rounds.remove(entry);
      if (rounds.isEmpty()) {
        onTime.remove(entry.request.urgency());
      }
      entry.late = true;
      add(entry);
    }
  }
}
