package org.heatherspread.node.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The API keys of one account, both active and revoked. Thread-safe. */
final class AccountKeys {
  private final String account;
  private final List<Key> active = new ArrayList<>();
  private final List<Key> revoked = new ArrayList<>();

  /** An API key. The time from which it must be rejected is set when it is revoked. */
  static final class Key {
    private final String value;
    private final String account;
    private final long addedNanos;
    private volatile long rejectedFromNanos = Long.MAX_VALUE;

    Key(String value, String account, long addedNanos) {
      this.value = value;
      this.account = account;
      this.addedNanos = addedNanos;
    }

    String value() {
      return value;
    }

    String account() {
      return account;
    }

    /** Returns the time at which the key was added. */
    long addedNanos() {
      return addedNanos;
    }

    /** Returns the time from which the key must be rejected, {@code Long.MAX_VALUE} if never. */
    long rejectedFromNanos() {
      return rejectedFromNanos;
    }

    void rejectFrom(long nanos) {
      rejectedFromNanos = nanos;
    }

    @Override
    public String toString() {
      return value;
    }
  }

  /** Creates keys that count as propagated to all daemons. */
  AccountKeys(String account, int count) {
    this.account = account;
    for (int i = 0; i < count; i++) {
      active.add(new Key(account + "-key-" + i, account, Long.MIN_VALUE / 2));
    }
  }

  /**
   * Adds a key. {@link #pick} does not return the newest of several active keys, whose
   * configuration may not have been written yet.
   */
  synchronized void add() {
    String value = account + "-key-" + (active.size() + revoked.size());
    active.add(new Key(value, account, System.nanoTime()));
  }

  /** Revokes the oldest active key, which {@link #pick} may still return. */
  synchronized Key revoke() {
    Key oldest = active.remove(0);
    revoked.add(oldest);
    return oldest;
  }

  synchronized List<String> activeValues() {
    return active.stream().map(Key::value).toList();
  }

  /** Returns a random key, occasionally a revoked one. */
  synchronized Key pick(SplittableRandom random) {
    boolean useRevoked = !revoked.isEmpty() && random.nextInt(6) == 0;
    List<Key> candidates = useRevoked ? revoked : active.subList(0, Math.max(1, active.size() - 1));
    return candidates.get(random.nextInt(candidates.size()));
  }
}
