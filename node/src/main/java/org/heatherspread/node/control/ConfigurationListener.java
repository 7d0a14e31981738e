package org.heatherspread.node.control;

import java.util.StringJoiner;
import java.util.function.Function;
import org.heatherspread.core.serving.AccountRule;
import org.heatherspread.core.serving.ServingConfig;
import org.heatherspread.core.store.SharedReading;
import org.heatherspread.core.store.SharedRow;
import org.heatherspread.relay.call.RelayState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings the operators' configuration into force; versions only rise. Confined to the event loop.
 */
final class ConfigurationListener implements TableListener {
  private static final Logger log = LoggerFactory.getLogger(ConfigurationListener.class);

  private final RelayState state;
  private final String key;
  private final Function<byte[], ServingConfig> format;

  ConfigurationListener(RelayState state, String key, Function<byte[], ServingConfig> format) {
    this.state = state;
    this.key = key;
    this.format = format;
  }

  @Override
  public void onFullRead(SharedReading reading) {
    onChanges(reading);
  }

  @Override
  public void onChanges(SharedReading reading) {
    for (SharedRow row : reading.rows()) {
      if (row.key().equals(key) && !row.deleted()) {
        offer(row);
      }
    }
  }

  private void offer(SharedRow row) {
    ServingConfig next;
    try {
      next = format.apply(row.value());
    } catch (RuntimeException e) {
      log.atError().setCause(e).log("configuration is not readable; the one in force stays");
      return;
    }
    long before = state.config().map(ServingConfig::version).orElse(-1L);
    if (state.offer(next)) {
      log.atInfo()
          .addKeyValue("version", next.version())
          .addKeyValue("before", before)
          .addKeyValue("row_version", row.version())
          .addKeyValue("account_limits", limits(next))
          .log("configuration in force");
    }
  }

  private static String limits(ServingConfig config) {
    StringJoiner limits = new StringJoiner(" ");
    for (AccountRule account : config.accounts()) {
      limits.add(account.name() + '=' + (long) account.ratePerSecond());
    }
    return limits.toString();
  }

  @Override
  public void onFailure(String reason) {
    // The watcher logs it; the age of the configuration is judged where it matters.
  }
}
