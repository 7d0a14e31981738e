package org.heatherspread.node.soak;

import java.io.IOException;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Parses the options of the programs in this package. Stateless. */
final class CommandLine {
  private static final int USAGE = 2;

  private CommandLine() {}

  /** Parses options; prints the help and exits if it is requested or an option is invalid. */
  static OptionSet parseOrExit(OptionParser parser, String[] arguments) throws IOException {
    parser.accepts("help", "show this help").forHelp();
    OptionSet options = null;
    try {
      options = parser.parse(arguments);
    } catch (OptionException e) {
      System.err.println(e.getMessage());
      parser.printHelpOn(System.err);
      System.exit(USAGE);
    }
    if (options.has("help")) {
      parser.printHelpOn(System.out);
      System.exit(0);
    }
    return options;
  }
}
