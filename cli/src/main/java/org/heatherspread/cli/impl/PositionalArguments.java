package org.heatherspread.cli.impl;

import java.util.List;
import joptsimple.OptionSet;

/** Checks the positional arguments of a command. Stateless and thread-safe. */
final class PositionalArguments {
  private PositionalArguments() {}

  /**
   * Returns the only argument; otherwise fails with a {@link UsageException} with the given text.
   */
  static String requireOne(OptionSet options, String usage) {
    List<?> arguments = options.nonOptionArguments();
    if (arguments.size() != 1) {
      throw new UsageException(usage);
    }
    return arguments.get(0).toString();
  }

  /** Fails with a {@link UsageException} with the given text if there are arguments. */
  static void requireNone(OptionSet options, String usage) {
    if (!options.nonOptionArguments().isEmpty()) {
      throw new UsageException(usage);
    }
  }
}
