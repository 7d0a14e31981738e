package org.heatherspread.core.store;

/** The condition under which a write to the table service takes effect. Immutable. */
public sealed interface Condition {
  /** The row does not exist. */
  record Absent() implements Condition {}

  /** The row exists with this version. */
  record VersionIs(long version) implements Condition {}

  /** Returns the condition that the row does not exist. */
  static Condition absent() {
    return new Absent();
  }

  /** Returns the condition that the row exists with this version. */
  static Condition versionIs(long version) {
    return new VersionIs(version);
  }
}
