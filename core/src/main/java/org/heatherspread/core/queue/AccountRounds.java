package org.heatherspread.core.queue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Requests of one urgency, taken from their accounts by deficit round robin, weighted by work.
 *
 * <p>While two accounts have requests, the work taken from each differs by at most one request and
 * one quantum. Requests of one account are taken in the order in which they came, except those that
 * cannot be dispatched now. Invariant: accounts without requests are not kept, and have no deficit
 * when they return. Confined to one thread.
 *
 * @param <T> type of the requests
 */
final class AccountRounds<T> {
  /** Accounts in the order of their turns, which is the order of insertion. */
  private final Map<String, Account<T>> accounts = new LinkedHashMap<>();

  private double work;
  private int size;

  private static final class Account<T> {
    private final Deque<QueueEntry<T>> entries = new ArrayDeque<>();
    private double work;
    private double deficit;
  }

  private record Candidate<T>(String name, Account<T> account, QueueEntry<T> entry) {
    private double rounds(double quantum) {
      return Math.max(0, Math.ceil((entry.work() - account.deficit) / quantum));
    }
  }

  void add(QueueEntry<T> entry) {
    Account<T> account = accounts.computeIfAbsent(entry.request.account(), name -> new Account<>());
    account.entries.add(entry);
    account.work += entry.work();
    work += entry.work();
    size++;
  }

  boolean isEmpty() {
    return size == 0;
  }

  int size() {
    return size;
  }

  double work() {
    return work;
  }

  /** Takes the next request that can be dispatched. */
  Optional<QueueEntry<T>> poll(Predicate<QueueEntry<T>> canDispatch) {
    List<Candidate<T>> candidates = new ArrayList<>();
    accounts.forEach(
        (name, account) ->
            account.entries.stream()
                .filter(canDispatch)
                .findFirst()
                .ifPresent(entry -> candidates.add(new Candidate<>(name, account, entry))));
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    double quantum = Math.max(1, work / size);
    Candidate<T> next = candidates.get(0);
    for (Candidate<T> candidate : candidates) {
      if (candidate.rounds(quantum) < next.rounds(quantum)) {
        next = candidate;
      }
    }
    double passed = next.rounds(quantum) * quantum;
    for (Candidate<T> candidate : candidates) {
      candidate.account.deficit += passed;
    }
    next.account.deficit -= next.entry.work();
    remove(next.entry);
    if (accounts.remove(next.name) != null && !next.account.entries.isEmpty()) {
      accounts.put(next.name, next.account);
    }
    return Optional.of(next.entry);
  }

  void remove(QueueEntry<T> entry) {
    String name = entry.request.account();
    Account<T> account = accounts.get(name);
    account.entries.remove(entry);
    account.work -= entry.work();
    work -= entry.work();
    size--;
    if (account.entries.isEmpty()) {
      accounts.remove(name);
    }
    if (size == 0) {
      work = 0;
    }
  }

  /** Returns the work that is taken before an entry that this does not have yet. */
  double workBefore(QueueEntry<T> entry) {
    Account<T> own = accounts.get(entry.request.account());
    return workBefore(entry, own, own == null ? 0 : own.work);
  }

  private double workBefore(QueueEntry<T> entry, Account<T> own, double ownWork) {
    double before = ownWork;
    double turns = ownWork + entry.work();
    for (Account<T> account : accounts.values()) {
      if (account != own) {
        before += Math.min(account.work, turns);
      }
    }
    return before;
  }

  /** Passes each entry with the work that is taken before it, last ones of each account first. */
  void forEachFromLast(WorkBefore<T> consumer) {
    for (Account<T> account : List.copyOf(accounts.values())) {
      double ownWork = account.work;
      for (QueueEntry<T> entry : reversed(account.entries)) {
        ownWork -= entry.work();
        consumer.accept(entry, workBefore(entry, account, Math.max(0, ownWork)));
      }
    }
  }

  private static <T> List<QueueEntry<T>> reversed(Deque<QueueEntry<T>> entries) {
    List<QueueEntry<T>> list = new ArrayList<>(entries.size());
    entries.descendingIterator().forEachRemaining(list::add);
    return list;
  }

  /** Receives entries and the work before them; may remove the entry. */
  interface WorkBefore<T> {
    void accept(QueueEntry<T> entry, double workMillis);
  }
}
