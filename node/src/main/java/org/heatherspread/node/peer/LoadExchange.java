package org.heatherspread.node.peer;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.fleet.LoadAggregator;
import org.heatherspread.relay.call.RelayState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges endpoint loads between daemons more often than daemon reports do. Each daemon sends its
 * own loads to the reader of its failure domain and receives the sum of all other daemons' loads;
 * readers request each other's domain sums. Confined to the event loop.
 */
public final class LoadExchange {
  private static final Logger log = LoggerFactory.getLogger(LoadExchange.class);

  /** Time between two exchanges, a few times the duration of a prefill. */
  private static final long INTERVAL_MILLIS = 250;

  /**
   * Time after which the loads of a silent source are discarded, and after which the loads of the
   * reports are used again; several exchanges.
   */
  private static final long EXPIRY_MILLIS = 1_200;

  private final RelayState state;
  private final String self;
  private final LoadClient client;
  private final Supplier<DomainReaders> readers;
  private final LoadAggregator memberLoads = LoadAggregator.create(EXPIRY_MILLIS);
  private final LoadAggregator otherDomainLoads = LoadAggregator.create(EXPIRY_MILLIS);
  private long lastExchangeMillis = Long.MIN_VALUE;
  private boolean failing;

  /** Client for the exchange with other daemons. */
  interface LoadClient {
    /** Sends this daemon's loads to a reader; returns the summed loads of all other daemons. */
    CompletableFuture<Map<String, EndpointLoad>> exchangeLoads(
        String reader, String self, Map<String, EndpointLoad> loads);

    /** Returns the summed loads of the failure domain of another reader. */
    CompletableFuture<Map<String, EndpointLoad>> fetchDomainLoads(String reader);
  }

  /**
   * The daemons that read the store for each failure domain.
   *
   * @param own reader of this daemon's domain, empty if every daemon reads for itself
   * @param others readers of the other domains
   */
  public record DomainReaders(String own, List<String> others) {
    /** No daemon reads for others. */
    public static final DomainReaders NONE = new DomainReaders("", List.of());
  }

  LoadExchange(RelayState state, String self, LoadClient client, Supplier<DomainReaders> readers) {
    this.state = state;
    this.self = self;
    this.client = client;
    this.readers = readers;
  }

  /** Creates an exchange over a peer client; nothing is exchanged before {@link #start}. */
  public static LoadExchange create(
      RelayState state, String self, PeerClient client, Supplier<DomainReaders> readers) {
    return new LoadExchange(state, self, client, readers);
  }

  /** Starts the exchange. */
  public void start() {
    state
        .loop()
        .scheduleWithFixedDelay(
            this::runScheduled, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns whether loads were exchanged recently; if so, the loads in reports are not needed. */
  public boolean isFresh() {
    return lastExchangeMillis != Long.MIN_VALUE && now() - lastExchangeMillis <= EXPIRY_MILLIS;
  }

  /** Records the loads of a daemon of this domain; returns the sum of all other daemons' loads. */
  Map<String, EndpointLoad> recordMemberLoads(String daemon, Map<String, EndpointLoad> loads) {
    memberLoads.update(daemon, loads, now());
    Map<String, EndpointLoad> others = memberLoads.sumExcluding(daemon, now());
    LoadAggregator.addAll(others, state.endpoints().ownLoads());
    LoadAggregator.addAll(others, otherDomainLoads.sum(now()));
    return others;
  }

  /** Returns the sum of the loads of this daemon and of the daemons that sent it theirs. */
  Map<String, EndpointLoad> domainLoads() {
    Map<String, EndpointLoad> sum = memberLoads.sum(now());
    LoadAggregator.addAll(sum, state.endpoints().ownLoads());
    return sum;
  }

  private void runScheduled() {
    try {
      exchange();
    } catch (RuntimeException e) {
      // An exception would cancel the scheduled task; the next exchange is independent of this one.
      log.atWarn().setCause(e).log("loads not exchanged");
    }
  }

  void exchange() {
    DomainReaders current = readers.get();
    if (current.own().isEmpty()) {
      return;
    }
    if (!current.own().equals(self)) {
      client
          .exchangeLoads(current.own(), self, state.endpoints().ownLoads())
          .whenComplete(this::onLoads);
      return;
    }
    for (String reader : current.others()) {
      client
          .fetchDomainLoads(reader)
          .whenComplete(
              (loads, failure) -> {
                if (failure == null) {
                  otherDomainLoads.update(reader, loads, now());
                }
                updateFailing(failure);
              });
    }
    Map<String, EndpointLoad> others = memberLoads.sum(now());
    LoadAggregator.addAll(others, otherDomainLoads.sum(now()));
    onLoads(others, null);
  }

  private void onLoads(Map<String, EndpointLoad> others, Throwable failure) {
    updateFailing(failure);
    if (failure == null) {
      lastExchangeMillis = now();
      state.endpoints().updatePeerLoads(others);
    }
  }

  private void updateFailing(Throwable failure) {
    if (failing == (failure != null)) {
      return;
    }
    failing = failure != null;
    log.atInfo()
        .addKeyValue("heard", !failing)
        .addKeyValue("reason", failing ? String.valueOf(failure.getMessage()) : "")
        .log("loads between daemons");
  }

  private long now() {
    return state.clock().millis();
  }
}
