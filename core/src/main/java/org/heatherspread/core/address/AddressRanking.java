package org.heatherspread.core.address;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.model.Instance;

/**
 * Ranks the daemons that a caller should use: those of its failure domain first, then those of its
 * region. Daemons of equal rank are ordered by rendezvous hashing, so that callers are spread over
 * them. The second address is of another failure domain where there is one, so that a caller can
 * fail over when its own domain is lost. Stateless.
 */
public final class AddressRanking {
  private AddressRanking() {}

  /**
   * Returns the alive daemons by rank; leaving, suspect and dead ones are omitted.
   *
   * @param daemons all daemons
   * @param domain name of the failure domain that the caller prefers
   * @param region name of the caller's region
   * @param spread any number that differs between responses, so that callers are spread evenly
   * @param count maximum number of addresses
   */
  public static List<Instance> rank(
      List<Member> daemons, String domain, String region, long spread, int count) {
    List<Instance> alive = new ArrayList<>();
    for (Member daemon : daemons) {
      if (daemon.takesNewWork()) {
        alive.add(daemon.instance());
      }
    }
    alive.sort(
        Comparator.comparingInt((Instance each) -> distance(each, domain, region))
            .thenComparingLong(each -> weight(each, spread))
            .thenComparing(Instance::id));
    return spreadOverDomains(alive, count);
  }

  private static int distance(Instance daemon, String domain, String region) {
    if (daemon.domain().name().equals(domain)) {
      return 0;
    }
    return daemon.domain().region().equals(region) ? 1 : 2;
  }

  private static long weight(Instance daemon, long spread) {
    return Hashing.farmHashFingerprint64()
        .newHasher()
        .putString(daemon.id(), StandardCharsets.UTF_8)
        .putLong(spread)
        .hash()
        .asLong();
  }

  /** Returns the first daemon of each failure domain, then the others in order. */
  private static List<Instance> spreadOverDomains(List<Instance> ordered, int count) {
    List<Instance> chosen = new ArrayList<>();
    Set<String> domains = new HashSet<>();
    for (Instance each : ordered) {
      if (chosen.size() < count && domains.add(each.domain().toString())) {
        chosen.add(each);
      }
    }
    for (Instance each : ordered) {
      if (chosen.size() < count && !chosen.contains(each)) {
        chosen.add(each);
      }
    }
    return chosen;
  }
}
