package org.heatherspread.cli.impl;

import java.util.List;
import joptsimple.OptionSet;

/** Reads the words of a command that are not options. Stateless. */
final class PositionalArguments {
  private PositionalArguments() {}

  /** Returns the only argument, or fails with the usage given. */
  static String requireOne(OptionSet options, String usage) {
    List<?> given = options.nonOptionArguments();
    if (given.size() != 1) {
      throw new UsageException(usage);
    }
    return given.get(0).toString();
  }

  /** Fails if there are arguments. */
  static void requireNone(OptionSet options, String usage) {
    if (!options.nonOptionArguments().isEmpty()) {
      throw new UsageException(usage);
    }
  }
}
