package org.heatherspread.bench.process;

import java.util.List;

/**
 * Describes an example deployment: its failure domains, services and client account. Immutable.
 *
 * @param name short name
 * @param region name of the region
 * @param domains names of its failure domains
 * @param modelService name of the model service
 * @param plainService name of the plain service
 * @param account name of the client account that makes the calls
 */
public record Deployment(
    String name,
    String region,
    List<String> domains,
    String modelService,
    String plainService,
    String account) {
  /** Makes a defensive copy of the list. */
  public Deployment {
    domains = List.copyOf(domains);
  }

  /** Returns a deployment for pet-licence renewals in the Marmara region. */
  public static Deployment patikoop() {
    return new Deployment(
        "patikoop",
        "marmara",
        List.of("kadikoy", "besiktas", "uskudar", "bursa-nilufer"),
        "assistant",
        "registry",
        "counter");
  }

  /** Returns a deployment for car-park occupancy signs in Upper Bavaria. */
  public static Deployment oberland() {
    return new Deployment(
        "oberland",
        "oberbayern",
        List.of("rosenheim", "weilheim", "freising", "garmisch"),
        "occupancy",
        "parking",
        "municipality");
  }

  /** Returns the key with which callers authenticate as the account. */
  public String accountKey() {
    return "key-of-" + account;
  }
}
