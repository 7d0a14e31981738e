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
import org.heatherspread.cli.impl.OperatorClient.Answer;
import org.heatherspread.cli.impl.Printer.Column;

/** The commands around plans: propose an intent from a file, show, confirm. Stateless. */
final class PlanCommands {
  private static final String PLANS = "/operator/v1/plans";
  private static final int HTTP_CONFLICT = 409;

  private PlanCommands() {}

  static List<Command> all() {
    return List.of(new ProposeFile(), new Show(), new Confirm());
  }

  /** Asks for the plan of an intent, prints it, and confirms it where that is wanted. */
  static ExitStatus propose(JsonNode intent, boolean confirm, CliContext context)
      throws IOException, InterruptedException {
    Answer plan = context.client().post(PLANS, intent);
    if (!plan.ok()) {
      return Refusals.print(plan, context);
    }
    if (!confirm) {
      print(plan.body(), context.printer());
      context.printer().line("Nothing has changed. To confirm: plan confirm " + id(plan));
      return ExitStatus.OK;
    }
    if (!context.printer().forPrograms()) {
      print(plan.body(), context.printer());
    }
    return confirm(id(plan), context);
  }

  private static String id(Answer plan) {
    return plan.body().path("id").asText();
  }

  private static void print(JsonNode plan, Printer printer) {
    if (printer.forPrograms()) {
      printer.json(plan);
      return;
    }
    printer.line("plan " + plan.path("id").asText());
    printer.line("made from version " + plan.path("base_version").asText());
    JsonNode cost = plan.path("cost_per_hour");
    printer.line("cost an hour: " + (cost.isNumber() ? cost.asText() : "not known"));
    printer.table(
        plan.path("steps"),
        List.of(
            new Column("STEP", "/action"),
            new Column("SUBJECT", "/subject"),
            new Column("DETAIL", "/detail")));
    for (JsonNode disturbed : plan.path("disturbs")) {
      printer.line("may disturb: " + disturbed.asText());
    }
  }

  private static ExitStatus confirm(String id, CliContext context)
      throws IOException, InterruptedException {
    Answer answer = context.client().post(PLANS + "/" + id + "/confirm", null);
    if (!answer.ok()) {
      Refusals.print(answer, context);
      return answer.status() == HTTP_CONFLICT ? ExitStatus.CONFLICT : ExitStatus.REFUSED;
    }
    JsonNode body = answer.body();
    if (context.printer().forPrograms()) {
      context.printer().json(body);
    } else {
      context.printer().object(body, "");
    }
    return body.path("in_force").asBoolean(true) ? ExitStatus.OK : ExitStatus.NOT_YET_IN_FORCE;
  }

  /** Proposes the intent that a JSON file holds. */
  private static final class ProposeFile implements Command {
    @Override
    public String name() {
      return "plan from";
    }

    @Override
    public String summary() {
      return "FILE: plan the intent that a JSON file holds";
    }

    @Override
    public void declare(OptionParser parser) {
      parser.accepts("yes", "confirm the plan at once");
    }

    @Override
    public ExitStatus run(OptionSet options, CliContext context)
        throws IOException, InterruptedException {
      Path file = Path.of(Arguments.only(options, name() + " takes FILE"));
      if (!Files.isReadable(file)) {
        throw new UsageException(file + " cannot be read");
      }
      JsonNode intent = new ObjectMapper().readTree(Files.readAllBytes(file));
      return propose(intent, options.has("yes"), context);
    }
  }

  /** Shows a plan. */
  private static final class Show implements Command {
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
      String id = Arguments.only(options, name() + " takes ID");
      Answer plan = context.client().get(PLANS + "/" + id);
      if (!plan.ok()) {
        return Refusals.print(plan, context);
      }
      print(plan.body(), context.printer());
      return ExitStatus.OK;
    }
  }

  /** Confirms a plan. */
  private static final class Confirm implements Command {
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
      return confirm(Arguments.only(options, name() + " takes ID"), context);
    }
  }
}
