package org.heatherspread.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Reports all problems of a settings file at once. Immutable. */
public final class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient List<SettingsProblem> problems;

  private SettingsException(List<SettingsProblem> problems) {
    super(problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  /** Creates an exception from the problems found; the list must not be empty. */
  public static SettingsException of(List<SettingsProblem> problems) {
    return new SettingsException(problems);
  }

  /** Returns the problems in the order of their lines. */
  public List<SettingsProblem> problems() {
    return problems;
  }
}
