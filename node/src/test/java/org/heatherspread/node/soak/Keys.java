package org.heatherspread.node.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The keys of one account, some of which are taken away. Safe for use by any thread. */
final class Keys {
  private final String account;
  private final List<Key> inForce = new ArrayList<>();
  private final List<Key> revoked = new ArrayList<>();

  /** A key; when it has to be refused is known only once it was taken away. */
  static final class Key {
    private final String text;
    private final String account;
    private final long addedNanos;
    private volatile long refusedFromNanos = Long.MAX_VALUE;

    Key(String text, String account, long addedNanos) {
      this.text = text;
      this.account = account;
      this.addedNanos = addedNanos;
    }

    String text() {
      return text;
    }

    String account() {
      return account;
    }

    /** Returns when the key was added. */
    long addedNanos() {
      return addedNanos;
    }

    /** Returns when the key has to be refused, {@code Long.MAX_VALUE} for never. */
    long refusedFromNanos() {
      return refusedFromNanos;
    }

    void refuseFrom(long nanos) {
      refusedFromNanos = nanos;
    }

    @Override
    public String toString() {
      return text;
    }
  }

  /** Creates keys that have been there for long. */
  Keys(String account, int count) {
    this.account = account;
    for (int i = 0; i < count; i++) {
      inForce.add(new Key(account + "-key-" + i, account, Long.MIN_VALUE / 2));
    }
  }

  /** Adds a key, to be used once the configuration that holds it is written. */
  synchronized void add() {
    String text = account + "-key-" + (inForce.size() + revoked.size());
    inForce.add(new Key(text, account, System.nanoTime()));
  }

  /** Takes the oldest key away; callers go on using it. */
  synchronized Key revoke() {
    Key oldest = inForce.remove(0);
    revoked.add(oldest);
    return oldest;
  }

  synchronized List<String> texts() {
    return inForce.stream().map(Key::text).toList();
  }

  /** Returns a key, now and then one that was taken away. */
  synchronized Key any(SplittableRandom random) {
    boolean old = !revoked.isEmpty() && random.nextInt(6) == 0;
    List<Key> from = old ? revoked : inForce.subList(0, Math.max(1, inForce.size() - 1));
    return from.get(random.nextInt(from.size()));
  }
}
