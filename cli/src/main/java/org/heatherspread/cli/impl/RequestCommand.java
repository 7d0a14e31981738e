package org.heatherspread.cli.impl;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.function.BiConsumer;
import joptsimple.OptionSet;
import org.heatherspread.cli.ExitStatus;
import org.heatherspread.cli.impl.OperatorClient.Response;
import org.heatherspread.cli.impl.Printer.Column;

/**
 * A command that sends one request without a body to the operator API and prints the response.
 *
 * <p>Immutable and thread-safe.
 */
final class RequestCommand implements Command {
  private final String name;
  private final String summary;
  private final String method;
  private final String path;
  private final BiConsumer<JsonNode, Printer> renderer;

  private RequestCommand(
      String name,
      String summary,
      String method,
      String path,
      BiConsumer<JsonNode, Printer> renderer) {
    this.name = name;
    this.summary = summary;
    this.method = method;
    this.path = path;
    this.renderer = renderer;
  }

  static List<Command> all() {
    return List.of(
        new RequestCommand(
            "config show",
            "show the current configuration of the daemon",
            "GET",
            "/operator/v1/config",
            RequestCommand::printConfiguration),
        new RequestCommand(
            "members",
            "show the daemons and endpoints in the local view of the daemon",
            "GET",
            "/operator/v1/members",
            RequestCommand::printMembers),
        new RequestCommand(
            "status",
            "show the version, leases, load and readiness of the daemon",
            "GET",
            "/operator/v1/status",
            (body, printer) -> printer.printObject(body, "")),
        new RequestCommand(
            "drain",
            "stop the daemon after its requests in progress have finished",
            "POST",
            "/operator/v1/drain",
            (body, printer) -> printer.printObject(body, "")));
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
    PositionalArguments.requireNone(options, name + " takes no arguments");
    Response response =
        method.equals("GET") ? context.client().get(path) : context.client().post(path, null);
    if (!response.isSuccessful()) {
      return ProblemPrinter.print(response, context);
    }
    if (context.printer().isJson()) {
      context.printer().printJson(response.body());
    } else {
      renderer.accept(response.body(), context.printer());
    }
    return ExitStatus.OK;
  }

  private static void printConfiguration(JsonNode body, Printer printer) {
    printer.printLine("version " + body.path("version").asText());
    printer.printLine("");
    printer.printTable(
        body.path("services"),
        List.of(
            new Column("SERVICE", "/name"),
            new Column("KIND", "/kind"),
            new Column("FIRST MS", "/target/first_token_ms"),
            new Column("INTER MS", "/target/inter_token_ms"),
            new Column("DOMAINS", "/domains"),
            new Column("VERSIONS", "/versions")));
    printer.printLine("");
    printer.printTable(
        body.path("accounts"),
        List.of(
            new Column("ACCOUNT", "/name"),
            new Column("PRIORITY", "/priority"),
            new Column("REQUESTS/S", "/limits/requests_per_second"),
            new Column("TOKENS/S", "/limits/tokens_per_second"),
            new Column("CONCURRENCY", "/limits/concurrency"),
            new Column("SERVICES", "/services")));
  }

  private static void printMembers(JsonNode body, Printer printer) {
    JsonNode rows = body.has("members") ? body.get("members") : body;
    printer.printTable(
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
