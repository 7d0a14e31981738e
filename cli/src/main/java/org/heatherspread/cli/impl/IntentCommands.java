package org.heatherspread.cli.impl;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.heatherspread.cli.impl.IntentCommand.IntentOptions;

/** The commands that state intents, one for each kind of the operators' interface. Stateless. */
final class IntentCommands {
  private static final String DEFAULT_FIRST_TOKEN_MILLIS = "520";
  private static final String DEFAULT_INTER_TOKEN_MILLIS = "33";

  private IntentCommands() {}

  static List<Command> all() {
    return List.of(
        command(
            "service put",
            "NAME: create a service or replace it whole",
            "put_service",
            List.of("name"),
            new IntentOptions(IntentCommands::serviceOptions, IntentCommands::service)),
        command("service retire", "NAME: retire a service", "retire_service", List.of("service")),
        command(
            "account put",
            "NAME: create a client account or replace it whole",
            "put_account",
            List.of("name"),
            new IntentOptions(IntentCommands::accountOptions, IntentCommands::account)),
        command(
            "account remove",
            "NAME: remove a client account",
            "remove_account",
            List.of("account")),
        command(
            "model add",
            "SERVICE VERSION: add a model version",
            "add_model_version",
            List.of("service", "version"),
            new IntentOptions(
                parser -> parser.accepts("adapter", "an adapter to load").withRequiredArg(),
                (options, intent) -> texts(intent.putArray("adapters"), options, "adapter"))),
        command(
            "model retire",
            "SERVICE VERSION: retire a model version once it is drained",
            "retire_model_version",
            List.of("service", "version")),
        command(
            "keep",
            "SERVICE DOMAIN: keep a service answering in a failure domain within its target",
            "keep_serving",
            List.of("service", "domain")),
        command(
            "release",
            "SERVICE DOMAIN: no longer keep a service answering in a failure domain",
            "release_domain",
            List.of("service", "domain")));
  }

  private static Command command(String name, String summary, String kind, List<String> arguments) {
    return command(name, summary, kind, arguments, IntentOptions.none());
  }

  private static Command command(
      String name, String summary, String kind, List<String> arguments, IntentOptions options) {
    return new IntentCommand(name, summary, kind, arguments, options);
  }

  // ---------------------------------------------------------------------------------------------
  // Services
  // ---------------------------------------------------------------------------------------------

  private static void serviceOptions(OptionParser parser) {
    parser.accepts("type", "model or plain").withRequiredArg().defaultsTo("model");
    parser
        .accepts("first-token-ms", "target to the first token, or to a plain service's answer")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(Long.valueOf(DEFAULT_FIRST_TOKEN_MILLIS));
    parser
        .accepts("inter-token-ms", "target between tokens")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(Long.valueOf(DEFAULT_INTER_TOKEN_MILLIS));
    parser.accepts("version", "an active model version").withRequiredArg();
    parser.accepts("adapter", "an adapter of each version").withRequiredArg();
    parser
        .accepts("repeatable", "METHOD:PATH-PREFIX of calls that may be sent again")
        .withRequiredArg();
    parser.accepts("domain", "a failure domain to keep the target in").withRequiredArg();
  }

  private static void service(OptionSet options, ObjectNode intent) {
    ObjectNode service = JsonNodeFactory.instance.objectNode();
    service.set("name", intent.remove("name"));
    service.put("kind", options.valueOf("type").toString());
    service
        .putObject("target")
        .put("first_token_ms", (Long) options.valueOf("first-token-ms"))
        .put("inter_token_ms", (Long) options.valueOf("inter-token-ms"));
    ArrayNode versions = service.putArray("versions");
    for (Object version : options.valuesOf("version")) {
      ObjectNode row = versions.addObject().put("version", version.toString());
      texts(row.putArray("adapters"), options, "adapter");
      row.put("state", "active");
    }
    ArrayNode rules = service.putArray("rules");
    for (Object rule : options.valuesOf("repeatable")) {
      rule(rules.addObject(), rule.toString());
    }
    texts(service.putArray("domains"), options, "domain");
    intent.set("service", service);
  }

  private static void rule(ObjectNode rule, String text) {
    int colon = text.indexOf(':');
    if (colon < 1) {
      throw new UsageException("--repeatable takes METHOD:PATH-PREFIX, such as GET:/");
    }
    rule.put("method", text.substring(0, colon))
        .put("path_prefix", text.substring(colon + 1))
        .put("repeatable", true);
  }

  // ---------------------------------------------------------------------------------------------
  // Client accounts
  // ---------------------------------------------------------------------------------------------

  private static void accountOptions(OptionParser parser) {
    parser.accepts("key-hash", "SHA-256 of the key, from 'key hash'").withRequiredArg().required();
    parser
        .accepts("requests", "requests a second")
        .withRequiredArg()
        .ofType(Double.class)
        .defaultsTo(100.0);
    parser
        .accepts("tokens", "tokens a second")
        .withRequiredArg()
        .ofType(Double.class)
        .defaultsTo(100_000.0);
    parser
        .accepts("concurrency", "requests in progress at once")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(200);
    parser
        .accepts("priority", "higher is served first")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(0);
    parser.accepts("service", "a service it may call; without any, all").withRequiredArg();
  }

  private static void account(OptionSet options, ObjectNode intent) {
    ObjectNode account = JsonNodeFactory.instance.objectNode();
    account.set("name", intent.remove("name"));
    account.put("key_hash", options.valueOf("key-hash").toString());
    account
        .putObject("limits")
        .put("requests_per_second", (Double) options.valueOf("requests"))
        .put("tokens_per_second", (Double) options.valueOf("tokens"))
        .put("concurrency", (Integer) options.valueOf("concurrency"));
    account.put("priority", (Integer) options.valueOf("priority"));
    texts(account.putArray("services"), options, "service");
    intent.set("account", account);
  }

  private static void texts(ArrayNode array, OptionSet options, String option) {
    options.valuesOf(option).forEach(value -> array.add(value.toString()));
  }
}
