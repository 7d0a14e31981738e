package org.heatherspread.core.lease;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Content of a lease row, stored as JSON. Immutable.
 *
 * @param holder id and incarnation of the holder; empty after a release
 * @param epoch fencing token; increases with each change of holder
 */
record LeaseRecord(String holder, long epoch) {
  private static final Pattern FORM =
      Pattern.compile("\\{\"holder\":\"([^\"\\\\]*)\",\"epoch\":(\\d+)}");

  String toJson() {
    return "{\"holder\":\"" + holder + "\",\"epoch\":" + epoch + "}";
  }

  static LeaseRecord parse(String text) {
    Matcher matcher = FORM.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("not a lease record: " + text);
    }
    return new LeaseRecord(matcher.group(1), Long.parseLong(matcher.group(2)));
  }
}
