package org.heatherspread.bench.process;

import java.util.List;

/**
 * What distinguishes one user's deployment: places, services and prices. Immutable.
 *
 * @param name short name
 * @param region the region
 * @param domains its failure domains
 * @param modelService name of the model service
 * @param plainService name of the plain service
 * @param account name of the client account that sends the mix
 */
public record Deployment(
    String name,
    String region,
    List<String> domains,
    String modelService,
    String plainService,
    String account) {
  /** Copies the list, so that the record stays immutable. */
  public Deployment {
    domains = List.copyOf(domains);
  }

  /** Pet-licence renewals in the Marmara region. */
  public static Deployment patikoop() {
    return new Deployment(
        "patikoop",
        "marmara",
        List.of("kadikoy", "besiktas", "uskudar", "bursa-nilufer"),
        "assistant",
        "registry",
        "counter");
  }

  /** Car-park occupancy signs in Upper Bavaria. */
  public static Deployment oberland() {
    return new Deployment(
        "oberland",
        "oberbayern",
        List.of("rosenheim", "weilheim", "freising", "garmisch"),
        "occupancy",
        "parking",
        "municipality");
  }

  /** Returns the key that the account's callers bring. */
  public String accountKey() {
    return "key-of-" + account;
  }
}
