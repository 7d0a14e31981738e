package org.heatherspread.settings.impl;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats durations in settings: a decimal number and one of ms, s, m, h. Stateless. */
public final class DurationFormat {
  private static final Pattern DURATION = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,9})?)(ms|s|m|h)");

  private static final BigDecimal NANOS_PER_SECOND =
      BigDecimal.valueOf(Duration.ofSeconds(1).toNanos());

  private DurationFormat() {}

  /**
   * Parses a duration.
   *
   * @throws IllegalArgumentException with the expected form, if the text has another
   */
  public static Duration parse(String text) {
    Matcher matcher = DURATION.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException(
          "\"" + text + "\" is not an interval; write a number and ms, s, m or h, such as \"4s\"");
    }
    long unitNanos =
        switch (matcher.group(2)) {
          case "ms" -> Duration.ofMillis(1).toNanos();
          case "s" -> Duration.ofSeconds(1).toNanos();
          case "m" -> Duration.ofMinutes(1).toNanos();
          default -> Duration.ofHours(1).toNanos();
        };
    BigDecimal nanos = new BigDecimal(matcher.group(1)).multiply(BigDecimal.valueOf(unitNanos));
    BigDecimal[] seconds = nanos.divideAndRemainder(NANOS_PER_SECOND);
    return Duration.ofSeconds(seconds[0].longValue(), seconds[1].longValue());
  }

  /** Formats a duration in the largest unit that represents it exactly. */
  public static String format(Duration value) {
    long millis = value.toMillis();
    if (millis % 3_600_000 == 0 && millis > 0) {
      return millis / 3_600_000 + "h";
    }
    if (millis % 60_000 == 0 && millis > 0) {
      return millis / 60_000 + "m";
    }
    return millis % 1_000 == 0 ? millis / 1_000 + "s" : millis + "ms";
  }
}
