package org.heatherspread.node.peer;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.fleet.LoadBoard;
import org.heatherspread.relay.call.RelayState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the loads of endpoints up to date between the readings of reports. A daemon tells the
 * reader of its failure domain what it sends and hears what all others send; readers ask one
 * another for the sums of their domains. Confined to the event loop.
 */
public final class LoadExchange {
  private static final Logger log = LoggerFactory.getLogger(LoadExchange.class);

  /** Time between two exchanges, a few times the length of a prefill. */
  private static final long INTERVAL_MILLIS = 250;

  /** Silence after which a source no longer counts, and reports count again: several exchanges. */
  private static final long FORGET_MILLIS = 1_200;

  private final RelayState state;
  private final String self;
  private final LoadClient calls;
  private final Supplier<DomainReaders> readers;
  private final LoadBoard members = LoadBoard.create(FORGET_MILLIS);
  private final LoadBoard domains = LoadBoard.create(FORGET_MILLIS);
  private long heardMillis = Long.MIN_VALUE;
  private boolean failing;

  /** The calls of the exchange. */
  interface LoadClient {
    /** Tells a reader this daemon's loads; returns those of all others. */
    CompletableFuture<Map<String, EndpointLoad>> exchangeLoads(
        String reader, String self, Map<String, EndpointLoad> loads);

    /** Asks a reader of another failure domain for the loads of its domain. */
    CompletableFuture<Map<String, EndpointLoad>> fetchDomainLoads(String reader);
  }

  /**
   * Who reads for which failure domain.
   *
   * @param own the reader of this daemon's domain, empty if each reads for itself
   * @param others the readers of the other domains
   */
  public record DomainReaders(String own, List<String> others) {
    /** Nobody reads for others. */
    public static final DomainReaders NONE = new DomainReaders("", List.of());
  }

  LoadExchange(RelayState state, String self, LoadClient calls, Supplier<DomainReaders> readers) {
    this.state = state;
    this.self = self;
    this.calls = calls;
    this.readers = readers;
  }

  /** Creates an exchange over a client; nothing is exchanged before {@link #start}. */
  public static LoadExchange create(
      RelayState state, String self, PeerClient client, Supplier<DomainReaders> readers) {
    return new LoadExchange(state, self, client, readers);
  }

  /** Starts to exchange. */
  public void start() {
    state
        .loop()
        .scheduleWithFixedDelay(
            this::step, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Tells whether loads were exchanged lately, so that reports add nothing. */
  public boolean isFresh() {
    return heardMillis != Long.MIN_VALUE && now() - heardMillis <= FORGET_MILLIS;
  }

  /** Takes in a member's loads and returns those of all others. */
  Map<String, EndpointLoad> recordMemberLoads(String daemon, Map<String, EndpointLoad> loads) {
    members.tell(daemon, loads, now());
    Map<String, EndpointLoad> others = members.sumWithout(daemon, now());
    LoadBoard.add(others, state.endpoints().ownLoads());
    LoadBoard.add(others, domains.sum(now()));
    return others;
  }

  /** Returns the loads of this daemon and those that told it theirs. */
  Map<String, EndpointLoad> domainLoads() {
    Map<String, EndpointLoad> sum = members.sum(now());
    LoadBoard.add(sum, state.endpoints().ownLoads());
    return sum;
  }

  private void step() {
    try {
      exchange();
    } catch (RuntimeException e) {
      // An exception would end the schedule; the next exchange starts afresh.
      log.atWarn().setCause(e).log("loads not exchanged");
    }
  }

  void exchange() {
    DomainReaders now = readers.get();
    if (now.own().isEmpty()) {
      return;
    }
    if (!now.own().equals(self)) {
      calls.exchangeLoads(now.own(), self, state.endpoints().ownLoads()).whenComplete(this::heard);
      return;
    }
    for (String reader : now.others()) {
      calls
          .fetchDomainLoads(reader)
          .whenComplete(
              (loads, failure) -> {
                if (failure == null) {
                  domains.tell(reader, loads, now());
                }
                note(failure);
              });
    }
    Map<String, EndpointLoad> others = members.sum(now());
    LoadBoard.add(others, domains.sum(now()));
    heard(others, null);
  }

  private void heard(Map<String, EndpointLoad> others, Throwable failure) {
    note(failure);
    if (failure == null) {
      heardMillis = now();
      state.endpoints().updatePeerLoads(others);
    }
  }

  private void note(Throwable failure) {
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
