package org.heatherspread.cli.impl;

import java.io.IOException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.heatherspread.cli.ExitStatus;

/** A subcommand. Implementations are immutable and thread-safe. */
public interface Command {
  /** Returns the name of the command: words separated by spaces, such as {@code service put}. */
  String name();

  /** Returns the arguments and a description of the command in one line. */
  String summary();

  /** Declares the options of the command. */
  default void declareOptions(OptionParser parser) {}

  /** Runs the command; throws {@link UsageException} if its arguments are invalid. */
  ExitStatus run(OptionSet options, CliContext context) throws IOException, InterruptedException;
}
