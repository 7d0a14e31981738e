package org.heatherspread.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Tells all faults of a settings file at once. Immutable. */
public final class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient List<Fault> faults;

  private SettingsException(List<Fault> faults) {
    super(faults.stream().map(Fault::toString).collect(Collectors.joining("\n")));
    this.faults = List.copyOf(faults);
  }

  /** Creates a failure from the faults found; the list must not be empty. */
  public static SettingsException of(List<Fault> faults) {
    return new SettingsException(faults);
  }

  /** Returns the faults in the order of their lines. */
  public List<Fault> faults() {
    return faults;
  }
}
