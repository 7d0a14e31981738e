package org.heatherspread.cli.impl;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.function.BiConsumer;
import joptsimple.OptionSet;
import org.heatherspread.cli.ExitStatus;
import org.heatherspread.cli.impl.OperatorClient.Answer;
import org.heatherspread.cli.impl.Printer.Column;

/**
 * A command that reads one resource of the operators' interface and shows it.
 *
 * <p>Immutable.
 */
final class ViewCommand implements Command {
  private final String name;
  private final String summary;
  private final String method;
  private final String path;
  private final BiConsumer<JsonNode, Printer> view;

  private ViewCommand(
      String name, String summary, String method, String path, BiConsumer<JsonNode, Printer> view) {
    this.name = name;
    this.summary = summary;
    this.method = method;
    this.path = path;
    this.view = view;
  }

  static List<Command> all() {
    return List.of(
        new ViewCommand(
            "config show",
            "show the configuration in force at the daemon",
            "GET",
            "/operator/v1/config",
            ViewCommand::configuration),
        new ViewCommand(
            "members",
            "show daemons and endpoints as the daemon believes them",
            "GET",
            "/operator/v1/members",
            ViewCommand::members),
        new ViewCommand(
            "status",
            "show the daemon's version, leases, load and readiness",
            "GET",
            "/operator/v1/status",
            (body, printer) -> printer.object(body, "")),
        new ViewCommand(
            "drain",
            "stop the daemon without cutting a request in progress",
            "POST",
            "/operator/v1/drain",
            (body, printer) -> printer.object(body, "")));
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
  public ExitStatus run(OptionSet options, CliContext context)
      throws IOException, InterruptedException {
    Arguments.none(options, name + " takes no arguments");
    Answer answer =
        method.equals("GET") ? context.client().get(path) : context.client().post(path, null);
    if (!answer.ok()) {
      return Refusals.print(answer, context);
    }
    if (context.printer().forPrograms()) {
      context.printer().json(answer.body());
    } else {
      view.accept(answer.body(), context.printer());
    }
    return ExitStatus.OK;
  }

  private static void configuration(JsonNode body, Printer printer) {
    printer.line("version " + body.path("version").asText());
    printer.line("");
    printer.table(
        body.path("services"),
        List.of(
            new Column("SERVICE", "/name"),
            new Column("KIND", "/kind"),
            new Column("FIRST MS", "/target/first_token_ms"),
            new Column("INTER MS", "/target/inter_token_ms"),
            new Column("DOMAINS", "/domains"),
            new Column("VERSIONS", "/versions")));
    printer.line("");
    printer.table(
        body.path("accounts"),
        List.of(
            new Column("ACCOUNT", "/name"),
            new Column("PRIORITY", "/priority"),
            new Column("REQUESTS/S", "/limits/requests_per_second"),
            new Column("TOKENS/S", "/limits/tokens_per_second"),
            new Column("CONCURRENCY", "/limits/concurrency"),
            new Column("SERVICES", "/services")));
  }

  private static void members(JsonNode body, Printer printer) {
    JsonNode rows = body.has("members") ? body.get("members") : body;
    printer.table(
        rows,
        List.of(
            new Column("ID", "/id"),
            new Column("KIND", "/kind"),
            new Column("SERVICE", "/service"),
            new Column("REGION", "/region"),
            new Column("DOMAIN", "/domain"),
            new Column("HEALTH", "/health"),
            new Column("INCARNATION", "/incarnation")));
  }
}
