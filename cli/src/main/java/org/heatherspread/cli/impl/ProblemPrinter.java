package org.heatherspread.cli.impl;

import com.fasterxml.jackson.databind.JsonNode;
import org.heatherspread.cli.ExitStatus;
import org.heatherspread.cli.impl.OperatorClient.Response;

/** Prints the problem body of an error response. Stateless and thread-safe. */
final class ProblemPrinter {
  private ProblemPrinter() {}

  /** Prints the problem: as JSON to standard output, or as text to standard error. */
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
