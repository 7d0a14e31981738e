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
 * A command that creates a plan for an intent and prints it; with {@code --yes} it also confirms
 * the plan. Each positional argument becomes a member of the intent.
 *
 * <p>Immutable and thread-safe.
 */
final class IntentCommand implements Command {
  private static final String CONFIRM_OPTION = "yes";

  private final String name;
  private final String summary;
  private final String kind;
  private final List<String> argumentNames;
  private final IntentOptions intentOptions;

  IntentCommand(
      String name,
      String summary,
      String kind,
      List<String> argumentNames,
      IntentOptions intentOptions) {
    this.name = name;
    this.summary = summary;
    this.kind = kind;
    this.argumentNames = argumentNames;
    this.intentOptions = intentOptions;
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
    parser.accepts(CONFIRM_OPTION, "confirm the plan immediately");
    intentOptions.declareOptions(parser);
  }

  @Override
  public ExitStatus run(OptionSet options, CliContext context)
      throws IOException, InterruptedException {
    ObjectNode intent = JsonNodeFactory.instance.objectNode().put("kind", kind);
    List<?> values = options.nonOptionArguments();
    if (values.size() != argumentNames.size()) {
      throw new UsageException(name + " takes " + argumentNames);
    }
    for (int i = 0; i < argumentNames.size(); i++) {
      intent.put(argumentNames.get(i), values.get(i).toString());
    }
    intentOptions.populate(options, intent);
    return PlanCommands.createPlan(intent, options.has(CONFIRM_OPTION), context);
  }

  /**
   * The options of one kind of intent. Immutable.
   *
   * @param declarer declares the options
   * @param populator writes the values of the options to the intent
   */
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
