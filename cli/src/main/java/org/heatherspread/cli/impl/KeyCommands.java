package org.heatherspread.cli.impl;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import joptsimple.OptionSet;
import org.heatherspread.cli.ExitStatus;

/** Commands that generate and hash API keys without calling a daemon. Stateless and thread-safe. */
final class KeyCommands {
  private static final int KEY_BYTES = 24;

  private KeyCommands() {}

  static List<Command> all() {
    return List.of(new HashKey(), new GenerateKey());
  }

  private static ExitStatus print(String key, boolean showKey, Printer printer) {
    if (printer.isJson()) {
      ObjectNode tree = JsonNodeFactory.instance.objectNode();
      if (showKey) {
        tree.put("key", key);
      }
      printer.printJson(tree.put("key_hash", hash(key)));
      return ExitStatus.OK;
    }
    if (showKey) {
      printer.printLine("key       " + key);
      printer.printLine("key hash  " + hash(key));
    } else {
      printer.printLine(hash(key));
    }
    return ExitStatus.OK;
  }

  private static String hash(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", e);
    }
  }

  /** Prints the hash of a key. Stateless. */
  private static final class HashKey implements Command {
    @Override
    public String name() {
      return "key hash";
    }

    @Override
    public String summary() {
      return "KEY: print the hash of a key, as stored in settings and client accounts";
    }

    @Override
    public ExitStatus run(OptionSet options, CliContext context) {
      return print(
          PositionalArguments.requireOne(options, name() + " takes KEY"), false, context.printer());
    }
  }

  /** Generates a random key. Stateless. */
  private static final class GenerateKey implements Command {
    @Override
    public String name() {
      return "key new";
    }

    @Override
    public String summary() {
      return "generate a random key and print it with its hash";
    }

    @Override
    public ExitStatus run(OptionSet options, CliContext context) {
      PositionalArguments.requireNone(options, name() + " takes no arguments");
      byte[] bytes = new byte[KEY_BYTES];
      new SecureRandom().nextBytes(bytes);
      String key = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
      return print(key, true, context.printer());
    }
  }
}
