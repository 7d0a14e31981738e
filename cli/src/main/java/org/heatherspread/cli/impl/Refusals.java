package org.heatherspread.cli.impl;

import com.fasterxml.jackson.databind.JsonNode;
import org.heatherspread.cli.ExitStatus;
import org.heatherspread.cli.impl.OperatorClient.Answer;

/** Prints a daemon's refusal. Stateless. */
final class Refusals {
  private Refusals() {}

  /** Prints the problem and returns the tool's exit status for it. */
  static ExitStatus print(Answer answer, CliContext context) {
    JsonNode problem = answer.body();
    if (context.printer().forPrograms()) {
      context.printer().json(problem);
    } else {
      System.err.printf(
          "refused (%d %s): %s%n",
          answer.status(), problem.path("kind").asText("?"), problem.path("detail").asText());
    }
    return ExitStatus.REFUSED;
  }
}
