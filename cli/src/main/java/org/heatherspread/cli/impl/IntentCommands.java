package org.heatherspread.cli.impl;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.heatherspread.cli.impl.IntentCommand.IntentOptions;

/** Creates the commands for all kinds of intents. Stateless and thread-safe. */
final class IntentCommands {
  private static final String DEFAULT_FIRST_TOKEN_MILLIS = "520";
  private static final String DEFAULT_INTER_TOKEN_MILLIS = "33";

  private IntentCommands() {}

  static List<Command> all() {
    return List.of(
        intentCommand(
            "service put",
            "NAME: create a service or replace it entirely",
            "put_service",
            List.of("name"),
            new IntentOptions(
                IntentCommands::declareServiceOptions, IntentCommands::populateService)),
        intentCommand(
            "service retire", "NAME: retire a service", "retire_service", List.of("service")),
        intentCommand(
            "account put",
            "NAME: create a client account or replace it entirely",
            "put_account",
            List.of("name"),
            new IntentOptions(
                IntentCommands::declareAccountOptions, IntentCommands::populateAccount)),
        intentCommand(
            "account remove",
            "NAME: remove a client account",
            "remove_account",
            List.of("account")),
        intentCommand(
            "model add",
            "SERVICE VERSION: add a model version",
            "add_model_version",
            List.of("service", "version"),
            new IntentOptions(
                parser ->
                    parser.accepts("adapter", "adapter to load; may be repeated").withRequiredArg(),
                (options, intent) -> addValues(intent.putArray("adapters"), options, "adapter"))),
        intentCommand(
            "model retire",
            "SERVICE VERSION: retire a model version after its requests have finished",
            "retire_model_version",
            List.of("service", "version")),
        intentCommand(
            "keep",
            "SERVICE DOMAIN: require a service to meet its target in a failure domain",
            "keep_serving",
            List.of("service", "domain")),
        intentCommand(
            "release",
            "SERVICE DOMAIN: no longer require a service to meet its target in a failure domain",
            "release_domain",
            List.of("service", "domain")));
  }

  private static Command intentCommand(
      String name, String summary, String kind, List<String> arguments) {
    return intentCommand(name, summary, kind, arguments, IntentOptions.none());
  }

  private static Command intentCommand(
      String name, String summary, String kind, List<String> arguments, IntentOptions options) {
    return new IntentCommand(name, summary, kind, arguments, options);
  }

  private static void declareServiceOptions(OptionParser parser) {
    parser.accepts("type", "model or plain").withRequiredArg().defaultsTo("model");
    parser
        .accepts(
            "first-token-ms",
            "target time to the first token, or to the response of a plain service")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(Long.valueOf(DEFAULT_FIRST_TOKEN_MILLIS));
    parser
        .accepts("inter-token-ms", "target time between tokens")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(Long.valueOf(DEFAULT_INTER_TOKEN_MILLIS));
    parser.accepts("version", "active model version; may be repeated").withRequiredArg();
    parser.accepts("adapter", "adapter of all given versions; may be repeated").withRequiredArg();
    parser
        .accepts("repeatable", "METHOD:PATH-PREFIX of calls that may be retried")
        .withRequiredArg();
    parser
        .accepts("domain", "failure domain in which to meet the target; may be repeated")
        .withRequiredArg();
  }

  private static void populateService(OptionSet options, ObjectNode intent) {
    ObjectNode service = JsonNodeFactory.instance.objectNode();
    service.set("name", intent.remove("name"));
    service.put("kind", options.valueOf("type").toString());
    service
        .putObject("target")
        .put("first_token_ms", (Long) options.valueOf("first-token-ms"))
        .put("inter_token_ms", (Long) options.valueOf("inter-token-ms"));
    ArrayNode versions = service.putArray("versions");
    for (Object version : options.valuesOf("version")) {
      ObjectNode versionNode = versions.addObject().put("version", version.toString());
      addValues(versionNode.putArray("adapters"), options, "adapter");
      versionNode.put("state", "active");
    }
    ArrayNode rules = service.putArray("rules");
    for (Object pattern : options.valuesOf("repeatable")) {
      populateRule(rules.addObject(), pattern.toString());
    }
    addValues(service.putArray("domains"), options, "domain");
    intent.set("service", service);
  }

  private static void populateRule(ObjectNode rule, String pattern) {
    int colon = pattern.indexOf(':');
    if (colon < 1) {
      throw new UsageException("--repeatable takes METHOD:PATH-PREFIX, such as GET:/");
    }
    rule.put("method", pattern.substring(0, colon))
        .put("path_prefix", pattern.substring(colon + 1))
        .put("repeatable", true);
  }

  private static void declareAccountOptions(OptionParser parser) {
    parser
        .accepts("key-hash", "SHA-256 hash of the key, see 'key hash'")
        .withRequiredArg()
        .required();
    parser
        .accepts("requests", "maximum requests per second")
        .withRequiredArg()
        .ofType(Double.class)
        .defaultsTo(100.0);
    parser
        .accepts("tokens", "maximum tokens per second")
        .withRequiredArg()
        .ofType(Double.class)
        .defaultsTo(100_000.0);
    parser
        .accepts("concurrency", "maximum number of requests in progress")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(200);
    parser
        .accepts("priority", "requests of a higher priority are served first")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(0);
    parser
        .accepts("service", "service that the account may call, all if absent; may be repeated")
        .withRequiredArg();
  }

  private static void populateAccount(OptionSet options, ObjectNode intent) {
    ObjectNode account = JsonNodeFactory.instance.objectNode();
    account.set("name", intent.remove("name"));
    account.put("key_hash", options.valueOf("key-hash").toString());
    account
        .putObject("limits")
        .put("requests_per_second", (Double) options.valueOf("requests"))
        .put("tokens_per_second", (Double) options.valueOf("tokens"))
        .put("concurrency", (Integer) options.valueOf("concurrency"));
    account.put("priority", (Integer) options.valueOf("priority"));
    addValues(account.putArray("services"), options, "service");
    intent.set("account", account);
  }

  private static void addValues(ArrayNode array, OptionSet options, String option) {
    options.valuesOf(option).forEach(value -> array.add(value.toString()));
  }
}
