package org.heatherspread.cli.impl;

import java.io.IOException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.heatherspread.cli.ExitStatus;

/**
 * One subcommand. Implementations are stateless.
 *
 * <p>A wrong use throws {@link UsageException}.
 */
public interface Command {
  /** Returns the words that name the command, such as {@code service put}. */
  String name();

  /** Returns one line on what the command does and which arguments it takes. */
  String summary();

  /** Declares the command's options. */
  default void declareOptions(OptionParser parser) {}

  /** Runs the command. */
  ExitStatus run(OptionSet options, CliContext context) throws IOException, InterruptedException;
}
