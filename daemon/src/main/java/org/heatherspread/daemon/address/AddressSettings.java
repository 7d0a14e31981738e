package org.heatherspread.daemon.address;

import java.time.Duration;
import org.heatherspread.settings.Section;

/**
 * Settings of the daemon addresses that callers receive. Immutable.
 *
 * @param validity time for which a caller may use the addresses
 * @param maxAddresses maximum number of daemons in a response
 */
public record AddressSettings(Duration validity, int maxAddresses) {
  private static final Duration DEFAULT_VALIDITY = Duration.ofSeconds(20);
  private static final int DEFAULT_ADDRESSES = 4;
  private static final int MAX_ADDRESSES = 64;

  /** Returns the default settings. */
  public static AddressSettings defaults() {
    return new AddressSettings(DEFAULT_VALIDITY, DEFAULT_ADDRESSES);
  }

  /** Reads the section {@code [addresses]}. */
  public static AddressSettings read(Section section) {
    return new AddressSettings(
        section.duration(
            "validity", DEFAULT_VALIDITY, Duration.ofSeconds(1), Duration.ofMinutes(10)),
        section.integer("count", DEFAULT_ADDRESSES, 1, MAX_ADDRESSES));
  }
}
