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
 * Orders the daemons that a caller should use: those of its failure domain first, then of its
 * region, spread over callers by rendezvous hashing so that no daemon comes first for all. The
 * second address is of another failure domain where there is one, so that a caller has somewhere to
 * go when its own domain is lost. Stateless.
 */
public final class AddressRanking {
  private AddressRanking() {}

  /**
   * Returns live daemons in order; those that are leaving, suspect or dead are left out.
   *
   * @param daemons all daemons
   * @param domain name of the failure domain that the caller prefers
   * @param region name of the caller's region
   * @param spread any number, another for each answer, so that callers are spread evenly
   * @param count how many at most
   */
  public static List<Instance> rank(
      List<Member> daemons, String domain, String region, long spread, int count) {
    List<Instance> live = new ArrayList<>();
    for (Member daemon : daemons) {
      if (daemon.takesNewWork()) {
        live.add(daemon.instance());
      }
    }
    live.sort(
        Comparator.comparingInt((Instance each) -> distance(each, domain, region))
            .thenComparingLong(each -> weight(each, spread))
            .thenComparing(Instance::id));
    return spreadOverDomains(live, count);
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

  /** Takes the first of each failure domain, then the rest in order. */
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
