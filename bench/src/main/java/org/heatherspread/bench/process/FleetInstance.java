package org.heatherspread.bench.process;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An instance of a fleet and its process. Immutable, except for the process.
 *
 * @param id instance id
 * @param kind {@code daemon}, {@code engine} or {@code plain}
 * @param service service of an endpoint; empty for a daemon
 * @param domain failure domain
 * @param port port of the HTTP interface
 * @param peerPort port for other daemons; 0 for an endpoint
 * @param pricePerHour price of the instance
 * @param process process that runs on the instance
 */
public record FleetInstance(
    String id,
    String kind,
    String service,
    String domain,
    int port,
    int peerPort,
    double pricePerHour,
    JavaProcess process) {

  /** Returns the base URL of the HTTP interface. */
  public String baseUrl() {
    return "http://127.0.0.1:" + port;
  }

  /** Returns the accrued cost of the instance since its start. */
  public double cost() {
    return pricePerHour * process.uptimeMillis() / 3_600_000.0;
  }

  /** Writes the entry of this instance in the instance list. */
  void writeListEntry(String region, ObjectNode entry) {
    entry
        .put("id", id)
        .put("incarnation", 1)
        .put("kind", kind)
        .put("service", service)
        .put("region", region)
        .put("domain", domain)
        .put("host", "127.0.0.1")
        .put("port", port)
        .put("peer_port", peerPort)
        .put("machine_class", kind + "-small")
        .put("market", "reclaimable")
        .put("price_per_hour", pricePerHour)
        .put("state", "live");
  }
}
