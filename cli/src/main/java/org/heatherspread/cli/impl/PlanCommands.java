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

/** Commands that create, show and confirm plans. Stateless and thread-safe. */
final class PlanCommands {
  private static final String PLANS = "/operator/v1/plans";
  private static final int HTTP_CONFLICT = 409;

  private PlanCommands() {}

  static List<Command> all() {
    return List.of(new CreateFromFile(), new ShowPlan(), new ConfirmPlan());
  }

  /**
   * Creates a plan for an intent and prints it. If {@code confirm} is set, also confirms the plan
   * and prints the result; in JSON mode only the result is printed.
   */
  static ExitStatus createPlan(JsonNode intent, boolean confirm, CliContext context)
      throws IOException, InterruptedException {
    Response plan = context.client().post(PLANS, intent);
    if (!plan.isSuccessful()) {
      return ProblemPrinter.print(plan, context);
    }
    if (!confirm) {
      printPlan(plan.body(), context.printer());
      context.printer().printLine("Nothing has changed. To confirm: plan confirm " + planId(plan));
      return ExitStatus.OK;
    }
    if (!context.printer().isJson()) {
      printPlan(plan.body(), context.printer());
    }
    return confirm(planId(plan), context);
  }

  private static String planId(Response plan) {
    return plan.body().path("id").asText();
  }

  private static void printPlan(JsonNode plan, Printer printer) {
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
    for (JsonNode impact : plan.path("disturbs")) {
      printer.printLine("may disturb: " + impact.asText());
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

  /** Creates a plan for the intent in a JSON file. Stateless. */
  private static final class CreateFromFile implements Command {
    @Override
    public String name() {
      return "plan from";
    }

    @Override
    public String summary() {
      return "FILE: create a plan for the intent in a JSON file";
    }

    @Override
    public void declareOptions(OptionParser parser) {
      parser.accepts("yes", "confirm the plan immediately");
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

  /** Shows a plan. Stateless. */
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
      printPlan(plan.body(), context.printer());
      return ExitStatus.OK;
    }
  }

  /** Confirms a plan. Stateless. */
  private static final class ConfirmPlan implements Command {
    @Override
    public String name() {
      return "plan confirm";
    }

    @Override
    public String summary() {
      return "ID: confirm a plan and wait until all daemons have applied it";
    }

    @Override
    public ExitStatus run(OptionSet options, CliContext context)
        throws IOException, InterruptedException {
      return confirm(PositionalArguments.requireOne(options, name() + " takes ID"), context);
    }
  }
}
