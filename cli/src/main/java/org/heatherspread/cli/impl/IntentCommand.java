package org.heatherspread.cli.impl;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.function.BiConsumer;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.heatherspread.cli.ExitStatus;

/**
 * A command that states an intent: asks for a plan, shows it, and with {@code --yes} confirms it.
 *
 * <p>Immutable.
 */
final class IntentCommand implements Command {
  private static final String CONFIRM_AT_ONCE = "yes";

  private final String name;
  private final String summary;
  private final String kind;
  private final List<String> arguments;
  private final IntentOptions extra;

  IntentCommand(
      String name, String summary, String kind, List<String> arguments, IntentOptions extra) {
    this.name = name;
    this.summary = summary;
    this.kind = kind;
    this.arguments = arguments;
    this.extra = extra;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public String summary() {
    return summary;
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.accepts(CONFIRM_AT_ONCE, "confirm the plan at once");
    extra.declareOptions(parser);
  }

  @Override
  public ExitStatus run(OptionSet options, CliContext context)
      throws IOException, InterruptedException {
    ObjectNode intent = JsonNodeFactory.instance.objectNode().put("kind", kind);
    List<?> given = options.nonOptionArguments();
    if (given.size() != arguments.size()) {
      throw new UsageException(name + " takes " + arguments);
    }
    for (int i = 0; i < arguments.size(); i++) {
      intent.put(arguments.get(i), given.get(i).toString());
    }
    extra.populate(options, intent);
    return PlanCommands.createPlan(intent, options.has(CONFIRM_AT_ONCE), context);
  }

  /** The options of one kind of intent. */
  record IntentOptions(
      java.util.function.Consumer<OptionParser> declarer,
      BiConsumer<OptionSet, ObjectNode> populator) {
    static IntentOptions none() {
      return new IntentOptions(parser -> {}, (options, intent) -> {});
    }

    void declareOptions(OptionParser parser) {
      declarer.accept(parser);
    }

    void populate(OptionSet options, ObjectNode intent) {
      populator.accept(options, intent);
    }
  }
}
