package org.heatherspread.core.model;

/** A failure domain, such as {@code kadikoy}, and its region. Immutable. */
public record FailureDomain(String region, String name) {
  @Override
  public String toString() {
    return region + "/" + name;
  }
}
