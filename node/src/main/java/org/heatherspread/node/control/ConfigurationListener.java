package org.heatherspread.node.control;

import java.util.StringJoiner;
import java.util.function.Function;
import org.heatherspread.core.serving.AccountConfig;
import org.heatherspread.core.serving.ServingConfig;
import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.core.store.SharedRow;
import org.heatherspread.relay.call.RelayState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the operators' configuration to the relay. The version in force never decreases, and a
 * configuration that cannot be parsed leaves the previous one in force. Confined to the event loop.
 */
final class ConfigurationListener implements TableListener {
  private static final Logger log = LoggerFactory.getLogger(ConfigurationListener.class);

  private final RelayState state;
  private final String key;
  private final Function<byte[], ServingConfig> parser;

  /**
   * Creates a listener.
   *
   * @param key key of the row that holds the configuration
   * @param parser throws a {@link RuntimeException} for a configuration that it cannot parse
   */
  ConfigurationListener(RelayState state, String key, Function<byte[], ServingConfig> parser) {
    this.state = state;
    this.key = key;
    this.parser = parser;
  }

  @Override
  public void onFullRead(SharedReadResult result, boolean restored) {
    onChanges(result);
  }

  @Override
  public void onChanges(SharedReadResult result) {
    for (SharedRow row : result.rows()) {
      if (row.key().equals(key) && !row.deleted()) {
        apply(row);
      }
    }
  }

  private void apply(SharedRow row) {
    ServingConfig next;
    try {
      next = parser.apply(row.value());
    } catch (RuntimeException e) {
      log.atError().setCause(e).log("configuration is not readable; the one in force stays");
      return;
    }
    long previousVersion = state.config().map(ServingConfig::version).orElse(-1L);
    if (state.updateConfig(next)) {
      log.atInfo()
          .addKeyValue("version", next.version())
          .addKeyValue("before", previousVersion)
          .addKeyValue("row_version", row.version())
          .addKeyValue("account_limits", formatLimits(next))
          .log("configuration in force");
    }
  }

  private static String formatLimits(ServingConfig config) {
    StringJoiner limits = new StringJoiner(" ");
    for (AccountConfig account : config.accounts()) {
      limits.add(account.name() + '=' + (long) account.ratePerSecond());
    }
    return limits.toString();
  }

  @Override
  public void onFailure(String reason) {
    // The table watcher logs failures, and users of the configuration check its age.
  }
}
