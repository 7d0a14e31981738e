package org.heatherspread.cli.impl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.heatherspread.cli.ExitStatus;
import org.heatherspread.cli.impl.OperatorClient.Response;
import org.heatherspread.cli.impl.Printer.Column;

/** The commands around plans: propose an intent from a file, show, confirm. Stateless. */
final class PlanCommands {
  private static final String PLANS = "/operator/v1/plans";
  private static final int HTTP_CONFLICT = 409;

  private PlanCommands() {}

  static List<Command> all() {
    return List.of(new CreateFromFile(), new ShowPlan(), new ConfirmPlan());
  }

  /** Asks for the plan of an intent, prints it, and confirms it where that is wanted. */
  static ExitStatus createPlan(JsonNode intent, boolean confirm, CliContext context)
      throws IOException, InterruptedException {
    Response plan = context.client().post(PLANS, intent);
    if (!plan.isSuccessful()) {
      return ProblemPrinter.print(plan, context);
    }
    if (!confirm) {
      print(plan.body(), context.printer());
      context.printer().printLine("Nothing has changed. To confirm: plan confirm " + id(plan));
      return ExitStatus.OK;
    }
    if (!context.printer().isJson()) {
      print(plan.body(), context.printer());
    }
    return confirm(id(plan), context);
  }

  private static String id(Response plan) {
    return plan.body().path("id").asText();
  }

  private static void print(JsonNode plan, Printer printer) {
    if (printer.isJson()) {
      printer.printJson(plan);
      return;
    }
    printer.printLine("plan " + plan.path("id").asText());
    printer.printLine("made from version " + plan.path("base_version").asText());
    JsonNode cost = plan.path("cost_per_hour");
    printer.printLine("cost an hour: " + (cost.isNumber() ? cost.asText() : "not known"));
    printer.printTable(
        plan.path("steps"),
        List.of(
            new Column("STEP", "/action"),
            new Column("SUBJECT", "/subject"),
            new Column("DETAIL", "/detail")));
    for (JsonNode disturbed : plan.path("disturbs")) {
      printer.printLine("may disturb: " + disturbed.asText());
    }
  }

  private static ExitStatus confirm(String id, CliContext context)
      throws IOException, InterruptedException {
    Response response = context.client().post(PLANS + "/" + id + "/confirm", null);
    if (!response.isSuccessful()) {
      ProblemPrinter.print(response, context);
      return response.status() == HTTP_CONFLICT ? ExitStatus.CONFLICT : ExitStatus.REFUSED;
    }
    JsonNode body = response.body();
    if (context.printer().isJson()) {
      context.printer().printJson(body);
    } else {
      context.printer().printObject(body, "");
    }
    return body.path("in_force").asBoolean(true) ? ExitStatus.OK : ExitStatus.ROLLOUT_INCOMPLETE;
  }

  /** Proposes the intent that a JSON file holds. */
  private static final class CreateFromFile implements Command {
    @Override
    public String name() {
      return "plan from";
    }

    @Override
    public String summary() {
      return "FILE: plan the intent that a JSON file holds";
    }

    @Override
    public void declareOptions(OptionParser parser) {
      parser.accepts("yes", "confirm the plan at once");
    }

    @Override
    public ExitStatus run(OptionSet options, CliContext context)
        throws IOException, InterruptedException {
      Path file = Path.of(PositionalArguments.requireOne(options, name() + " takes FILE"));
      if (!Files.isReadable(file)) {
        throw new UsageException(file + " cannot be read");
      }
      JsonNode intent = new ObjectMapper().readTree(Files.readAllBytes(file));
      return createPlan(intent, options.has("yes"), context);
    }
  }

  /** Shows a plan. */
  private static final class ShowPlan implements Command {
    @Override
    public String name() {
      return "plan show";
    }

    @Override
    public String summary() {
      return "ID: show a plan";
    }

    @Override
    public ExitStatus run(OptionSet options, CliContext context)
        throws IOException, InterruptedException {
      String id = PositionalArguments.requireOne(options, name() + " takes ID");
      Response plan = context.client().get(PLANS + "/" + id);
      if (!plan.isSuccessful()) {
        return ProblemPrinter.print(plan, context);
      }
      print(plan.body(), context.printer());
      return ExitStatus.OK;
    }
  }

  /** Confirms a plan. */
  private static final class ConfirmPlan implements Command {
    @Override
    public String name() {
      return "plan confirm";
    }

    @Override
    public String summary() {
      return "ID: confirm a plan and wait until it is in force everywhere";
    }

    @Override
    public ExitStatus run(OptionSet options, CliContext context)
        throws IOException, InterruptedException {
      return confirm(PositionalArguments.requireOne(options, name() + " takes ID"), context);
    }
  }
}
