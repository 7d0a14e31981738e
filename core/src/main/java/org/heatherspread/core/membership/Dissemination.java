package org.heatherspread.core.membership;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/**
 * Spreads small values from any daemon to all others within seconds; soft state, never a source of
 * truth.
 *
 * <p>Implementations are safe for use by any thread. Listeners are called in the exchange's thread
 * and must not block.
 */
public interface Dissemination {
  /** Publishes a value; a later one of the same topic and key replaces it. */
  void publish(String topic, String key, byte[] value, Duration lifetime);

  /** Returns the live entries of a topic. */
  List<SharedEntry> entries(String topic);

  /** Calls the listener with each new or replaced entry of a topic. */
  void subscribe(String topic, Consumer<SharedEntry> listener);
}
