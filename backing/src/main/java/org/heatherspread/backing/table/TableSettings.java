package org.heatherspread.backing.table;

import java.net.URI;
import java.time.Duration;

/**
 * Connection settings of the table service. Immutable; the {@code with} methods return copies.
 *
 * @param endpoint base URL of the service
 * @param region region name in the signatures of requests
 * @param table name of the table
 * @param accessKey access key id; if empty, requests are not signed
 * @param secretKey secret access key
 * @param connectTimeout maximum time to open a connection
 * @param callTimeout maximum time of an operation, including connecting
 * @param maxConnections maximum number of open connections
 */
public record TableSettings(
    URI endpoint,
    String region,
    String table,
    String accessKey,
    String secretKey,
    Duration connectTimeout,
    Duration callTimeout,
    int maxConnections) {

  /** Returns the settings for a table service on the local host. */
  public static TableSettings defaults() {
    return new TableSettings(
        URI.create("http://127.0.0.1:8000"),
        "local",
        "heatherspread",
        "",
        "",
        Duration.ofMillis(500),
        Duration.ofMillis(1_500),
        16);
  }

  /** Returns a copy with another base URL. */
  public TableSettings withEndpoint(URI next) {
    return new TableSettings(
        next, region, table, accessKey, secretKey, connectTimeout, callTimeout, maxConnections);
  }

  /** Returns a copy with another time limit for an operation. */
  public TableSettings withCallTimeout(Duration next) {
    return new TableSettings(
        endpoint, region, table, accessKey, secretKey, connectTimeout, next, maxConnections);
  }

  @Override
  public String toString() {
    return "TableSettings[" + endpoint + ", " + region + ", " + table + "]";
  }
}
