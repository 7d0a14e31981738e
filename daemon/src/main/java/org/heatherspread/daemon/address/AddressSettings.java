package org.heatherspread.daemon.address;

import java.time.Duration;
import org.heatherspread.settings.Section;

/**
 * What callers are told about the daemons to use. Immutable.
 *
 * @param validity how long a caller may keep the answer
 * @param maxAddresses daemons in one answer at most
 */
public record AddressSettings(Duration validity, int maxAddresses) {
  private static final Duration DEFAULT_VALIDITY = Duration.ofSeconds(20);
  private static final int DEFAULT_ADDRESSES = 4;
  private static final int MAX_ADDRESSES = 64;

  /** Returns the settings of a deployment that states none. */
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
