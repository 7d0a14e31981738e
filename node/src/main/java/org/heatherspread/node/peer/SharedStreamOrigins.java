package org.heatherspread.node.peer;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.routing.RendezvousHash;
import org.heatherspread.core.stream.StreamOrigin;
import org.heatherspread.core.stream.StreamOriginTable;
import org.heatherspread.relay.call.StreamOrigins;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the origin of each stream at the daemon that began it and at a few others, which are
 * selected by rendezvous hashing of the attempt's id. Any daemon finds it there, also after the
 * first one has ended.
 *
 * <p>A lookup asks more daemons than hold a copy, since the views of the fleet differ for a while
 * after daemons join or end. Confined to the event loop.
 */
public final class SharedStreamOrigins implements StreamOrigins {
  private static final Logger log = LoggerFactory.getLogger(SharedStreamOrigins.class);

  /** Number of other daemons that keep a copy. */
  private static final int COPIES = 3;

  /** Number of daemons that a lookup asks. */
  private static final int ASKED_DAEMONS = 5;

  /** Time in which origins are collected into one message for each daemon. */
  private static final long COLLECT_MILLIS = 10;

  private final String self;
  private final EventLoop loop;
  private final StreamOriginTable table;
  private final PeerClient peers;
  private final Map<String, List<AttemptOrigin>> pending = new HashMap<>();

  /**
   * The origin of the stream that answers an attempt; sent as JSON under the names of its
   * components.
   *
   * @param retentionMillis time for which to keep it
   */
  public record AttemptOrigin(
      String attemptId, String service, String version, long retentionMillis) {}

  private SharedStreamOrigins(
      String self, EventLoop loop, StreamOriginTable table, PeerClient peers) {
    this.self = self;
    this.loop = loop;
    this.table = table;
    this.peers = peers;
  }

  /**
   * Creates an instance over a table that is not shared.
   *
   * @param self name of this daemon
   */
  public static SharedStreamOrigins create(
      String self, EventLoop loop, StreamOriginTable table, PeerClient peers) {
    return new SharedStreamOrigins(self, loop, table, peers);
  }

  @Override
  public void record(String attemptId, StreamOrigin origin, long retentionMillis) {
    table.add(attemptId, origin, retentionMillis);
    AttemptOrigin entry =
        new AttemptOrigin(attemptId, origin.service(), origin.version(), retentionMillis);
    List<String> daemons = selectDaemons(attemptId, COPIES);
    if (pending.isEmpty() && !daemons.isEmpty()) {
      loop.schedule(this::send, COLLECT_MILLIS, TimeUnit.MILLISECONDS);
    }
    for (String daemon : daemons) {
      pending.computeIfAbsent(daemon, name -> new ArrayList<>()).add(entry);
    }
  }

  private void send() {
    Map<String, List<AttemptOrigin>> collected = Map.copyOf(pending);
    pending.clear();
    collected.forEach(
        (daemon, origins) ->
            peers
                .sendStreamOrigins(daemon, origins)
                .whenComplete((sent, failure) -> logFailure(daemon, origins.size(), failure)));
  }

  private static void logFailure(String daemon, int count, Throwable failure) {
    if (failure != null) {
      log.atInfo()
          .addKeyValue("daemon", daemon)
          .addKeyValue("count", count)
          .addKeyValue("reason", String.valueOf(failure.getMessage()))
          .log("stream origins not copied");
    }
  }

  /** Adds the origins that another daemon sent. */
  void merge(List<AttemptOrigin> origins) {
    for (AttemptOrigin origin : origins) {
      table.add(
          origin.attemptId(),
          new StreamOrigin(origin.service(), origin.version()),
          origin.retentionMillis());
    }
  }

  /** Returns the origin of an attempt as far as this daemon knows it. */
  Optional<StreamOrigin> findHere(String attemptId) {
    return table.find(attemptId);
  }

  @Override
  public CompletableFuture<Optional<StreamOrigin>> find(String attemptId) {
    Optional<StreamOrigin> known = findHere(attemptId);
    List<String> daemons = selectDaemons(attemptId, ASKED_DAEMONS);
    if (known.isPresent() || daemons.isEmpty()) {
      return CompletableFuture.completedFuture(known);
    }
    CompletableFuture<Optional<StreamOrigin>> found = new CompletableFuture<>();
    List<CompletableFuture<Void>> replies = new ArrayList<>();
    for (String daemon : daemons) {
      replies.add(
          peers
              .findStreamOrigin(daemon, attemptId)
              .handle(
                  (origin, failure) -> {
                    if (failure == null && origin.isPresent()) {
                      found.complete(origin);
                    }
                    return null;
                  }));
    }
    CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
        .thenRun(() -> found.complete(Optional.empty()));
    return found;
  }

  private List<String> selectDaemons(String attemptId, int count) {
    List<String> others = new ArrayList<>(peers.daemons());
    others.remove(self);
    return RendezvousHash.select(others, attemptId, count);
  }
}
