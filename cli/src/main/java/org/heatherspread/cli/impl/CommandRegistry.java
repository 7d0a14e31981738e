package org.heatherspread.cli.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Looks up subcommands by name. Immutable and thread-safe. */
public final class CommandRegistry {
  private static final List<Command> COMMANDS = createCommands();

  private CommandRegistry() {}

  private static List<Command> createCommands() {
    List<Command> all = new ArrayList<>();
    all.addAll(RequestCommand.all());
    all.addAll(IntentCommands.all());
    all.addAll(PlanCommands.all());
    all.addAll(KeyCommands.all());
    all.addAll(ExplainCommand.all());
    return List.copyOf(all);
  }

  /** Finds the command that the first arguments name, and removes its name from the list. */
  public static Optional<Command> resolve(List<String> arguments) {
    for (Command command : COMMANDS) {
      List<String> name = List.of(command.name().split(" "));
      if (arguments.size() >= name.size() && arguments.subList(0, name.size()).equals(name)) {
        arguments.subList(0, name.size()).clear();
        return Optional.of(command);
      }
    }
    return Optional.empty();
  }

  /** Returns a list of all commands with their summaries. */
  public static String usage() {
    StringBuilder text =
        new StringBuilder(
            "usage: heatherspread COMMAND [OPTIONS]; COMMAND --help shows its options\n");
    for (Command command : COMMANDS) {
      text.append("  %-16s %s%n".formatted(command.name(), command.summary()));
    }
    return text.toString();
  }
}
