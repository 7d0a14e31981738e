package org.heatherspread.node.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashMap;
import java.util.Map;
import org.heatherspread.core.fleet.FactLog;
import org.heatherspread.core.fleet.FactLog.Batch;
import org.heatherspread.core.fleet.FactLog.Fact;
import org.heatherspread.core.fleet.FactLog.Position;
import org.heatherspread.core.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Publishes facts that this daemon has learned to all daemons, and applies those of others. {@link
 * LoadExchange} carries them. Confined to the event loop.
 */
public final class SharedFacts {
  private static final Logger log = LoggerFactory.getLogger(SharedFacts.class);

  /** Age at which facts are no longer passed on, many times the duration of an exchange. */
  private static final long RETENTION_MILLIS = 10_000;

  /** Maximum number of facts that are kept, a few hundred kilobytes. */
  private static final int MAX_FACTS = 2_048;

  private static final ObjectMapper MAPPER =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private final FactLog facts;
  private final MonotonicClock clock;
  private final Map<String, Receiver<String>> receivers = new HashMap<>();
  private Runnable urgentListener = () -> {};

  private SharedFacts(FactLog facts, MonotonicClock clock) {
    this.facts = facts;
    this.clock = clock;
  }

  /**
   * Creates an instance without facts.
   *
   * @param self name of this daemon
   * @param process random number of this process
   */
  public static SharedFacts create(String self, String process, MonotonicClock clock) {
    return new SharedFacts(FactLog.create(process, self, RETENTION_MILLIS, MAX_FACTS), clock);
  }

  /** Applies a fact of another daemon. */
  public interface Receiver<T> {
    /**
     * Applies the content of a fact.
     *
     * @param origin name of the daemon that learned it
     * @param ageMillis time since it was learned
     */
    void receive(String origin, T content, long ageMillis);
  }

  /** Sets the receiver of the facts of a kind. */
  public <T> void onFact(String kind, TypeReference<T> type, Receiver<T> receiver) {
    receivers.put(
        kind, (origin, json, ageMillis) -> receiver.receive(origin, read(json, type), ageMillis));
  }

  private static <T> T read(String json, TypeReference<T> type) {
    try {
      return MAPPER.readValue(json, type);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** Sets a listener to facts of this daemon that should not wait for the next exchange. */
  void onUrgentFact(Runnable listener) {
    urgentListener = listener;
  }

  /** Publishes a fact with the next exchange. */
  public void publish(String kind, Object content) {
    try {
      facts.addOwn(kind, MAPPER.writeValueAsString(content), clock.millis());
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** Publishes a fact as soon as possible. */
  public void publishUrgently(String kind, Object content) {
    publish(kind, content);
    urgentListener.run();
  }

  Batch ownAfter(Position after) {
    return facts.ownAfter(after, clock.millis());
  }

  Batch ofGroupAfter(Position after) {
    return facts.ofGroupAfter(after, clock.millis());
  }

  Batch othersAfter(Position after, String daemon) {
    return facts.othersAfter(after, daemon, clock.millis());
  }

  /**
   * Adds and applies the facts of other daemons that are new here.
   *
   * @param ofGroup whether they come from a daemon of this daemon's group
   */
  void receive(Batch batch, boolean ofGroup) {
    for (Fact fact : batch.facts()) {
      if (facts.add(fact, ofGroup, clock.millis())) {
        apply(fact);
      }
    }
  }

  private void apply(Fact fact) {
    Receiver<String> receiver = receivers.get(fact.kind());
    if (receiver == null) {
      // A daemon of a later version may publish kinds that this one does not know.
      return;
    }
    try {
      receiver.receive(fact.origin(), fact.content(), fact.ageMillis());
    } catch (RuntimeException e) {
      log.atWarn()
          .addKeyValue("kind", fact.kind())
          .addKeyValue("daemon", fact.origin())
          .addKeyValue("reason", String.valueOf(e.getMessage()))
          .log("fact not applied");
    }
  }
}
