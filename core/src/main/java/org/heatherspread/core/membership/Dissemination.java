package org.heatherspread.core.membership;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/**
 * Spreads small values from any daemon to all others within seconds. Values are soft state and
 * never a source of truth.
 *
 * <p>Implementations are thread-safe. Listeners are called in the thread of the exchange and must
 * not block.
 */
public interface Dissemination {
  /** Publishes a value that replaces the last one of the same topic and key. */
  void publish(String topic, String key, byte[] value, Duration lifetime);

  /** Returns the unexpired entries of a topic. */
  List<SharedEntry> entries(String topic);

  /** Calls the listener with each new or replaced entry of a topic. */
  void subscribe(String topic, Consumer<SharedEntry> listener);
}
