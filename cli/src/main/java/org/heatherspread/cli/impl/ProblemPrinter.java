package org.heatherspread.cli.impl;

import com.fasterxml.jackson.databind.JsonNode;
import org.heatherspread.cli.ExitStatus;
import org.heatherspread.cli.impl.OperatorClient.Response;

/** Prints a daemon's refusal. Stateless. */
final class ProblemPrinter {
  private ProblemPrinter() {}

  /** Prints the problem and returns the tool's exit status for it. */
  static ExitStatus print(Response response, CliContext context) {
    JsonNode problem = response.body();
    if (context.printer().isJson()) {
      context.printer().printJson(problem);
    } else {
      System.err.printf(
          "refused (%d %s): %s%n",
          response.status(), problem.path("kind").asText("?"), problem.path("detail").asText());
    }
    return ExitStatus.REFUSED;
  }
}
