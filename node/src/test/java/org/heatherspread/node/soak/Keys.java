package org.heatherspread.node.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The keys of one account, some of which are taken away. Safe for use by any thread. */
final class Keys {
  private final String account;
  private final List<Key> inForce = new ArrayList<>();
  private final List<Key> revoked = new ArrayList<>();
  private int made;

  /**
   * A key as a caller uses it.
   *
   * @param refusedFromNanos when it has to be refused, {@code Long.MAX_VALUE} for never
   */
  record Key(String text, String account, long refusedFromNanos) {}

  Keys(String account, int count) {
    this.account = account;
    for (int i = 0; i < count; i++) {
      add();
    }
  }

  /** Adds a key, to be used once the configuration that holds it is written. */
  synchronized void add() {
    inForce.add(new Key(account + "-key-" + made++, account, Long.MAX_VALUE));
  }

  /** Takes the oldest key away; callers go on using it. */
  synchronized void revoke(long refusedFromNanos) {
    Key oldest = inForce.remove(0);
    revoked.add(new Key(oldest.text(), account, refusedFromNanos));
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
