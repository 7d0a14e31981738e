package org.heatherspread.backing.table;

import java.net.URI;
import java.time.Duration;

/**
 * How the table service is reached. Immutable; the {@code with} methods return copies.
 *
 * @param endpoint base URL of the service
 * @param region region name that requests are signed for
 * @param table name of the table
 * @param accessKey access key id; empty sends requests unsigned
 * @param secretKey secret access key
 * @param connectTimeout longest time to open a connection
 * @param callTimeout longest time of one operation, connecting included
 * @param maxConnections connections open at once
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

  /** Returns the settings for a table service on this machine. */
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

  /** Returns a copy with another time-out for one operation. */
  public TableSettings withCallTimeout(Duration next) {
    return new TableSettings(
        endpoint, region, table, accessKey, secretKey, connectTimeout, next, maxConnections);
  }

  @Override
  public String toString() {
    return "TableSettings[" + endpoint + ", " + region + ", " + table + "]";
  }
}
