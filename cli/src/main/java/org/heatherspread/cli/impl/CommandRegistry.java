package org.heatherspread.cli.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** All subcommands, found by their words. Stateless. */
public final class CommandRegistry {
  private static final List<Command> COMMANDS = commands();

  private CommandRegistry() {}

  private static List<Command> commands() {
    List<Command> all = new ArrayList<>();
    all.addAll(RequestCommand.all());
    all.addAll(IntentCommands.all());
    all.addAll(PlanCommands.all());
    all.addAll(KeyCommands.all());
    all.addAll(ExplainCommand.all());
    return List.copyOf(all);
  }

  /** Finds the command that the first words name and takes those words off the list. */
  public static Optional<Command> resolve(List<String> words) {
    for (Command command : COMMANDS) {
      List<String> name = List.of(command.name().split(" "));
      if (words.size() >= name.size() && words.subList(0, name.size()).equals(name)) {
        words.subList(0, name.size()).clear();
        return Optional.of(command);
      }
    }
    return Optional.empty();
  }

  /** Returns the list of commands for people. */
  public static String usage() {
    StringBuilder text =
        new StringBuilder("usage: heatherspread COMMAND [OPTIONS]; COMMAND --help tells more\n");
    for (Command command : COMMANDS) {
      text.append("  %-16s %s%n".formatted(command.name(), command.summary()));
    }
    return text.toString();
  }
}
