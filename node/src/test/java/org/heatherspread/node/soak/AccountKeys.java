package org.heatherspread.node.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The keys of one account, some of which are taken away. Safe for use by any thread. */
final class AccountKeys {
  private final String account;
  private final List<Key> active = new ArrayList<>();
  private final List<Key> revoked = new ArrayList<>();

  /** A key; when it has to be refused is known only once it was taken away. */
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

    /** Returns when the key was added. */
    long addedNanos() {
      return addedNanos;
    }

    /** Returns when the key has to be refused, {@code Long.MAX_VALUE} for never. */
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

  /** Creates keys that have been there for long. */
  AccountKeys(String account, int count) {
    this.account = account;
    for (int i = 0; i < count; i++) {
      active.add(new Key(account + "-key-" + i, account, Long.MIN_VALUE / 2));
    }
  }

  /** Adds a key, to be used once the configuration that holds it is written. */
  synchronized void add() {
    String value = account + "-key-" + (active.size() + revoked.size());
    active.add(new Key(value, account, System.nanoTime()));
  }

  /** Takes the oldest key away; callers go on using it. */
  synchronized Key revoke() {
    Key oldest = active.remove(0);
    revoked.add(oldest);
    return oldest;
  }

  synchronized List<String> activeValues() {
    return active.stream().map(Key::value).toList();
  }

  /** Returns a key, now and then one that was taken away. */
  synchronized Key pick(SplittableRandom random) {
    boolean useRevoked = !revoked.isEmpty() && random.nextInt(6) == 0;
    List<Key> candidates = useRevoked ? revoked : active.subList(0, Math.max(1, active.size() - 1));
    return candidates.get(random.nextInt(candidates.size()));
  }
}
