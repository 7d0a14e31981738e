package org.heatherspread.node.peer;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends new observations to other daemons at once, and has them reported to the store. The next
 * reports repeat them, so a lost message only delays them. Confined to the event loop.
 *
 * @param <T> type of the observations
 */
public final class PeerBroadcast<T> {
  private static final Logger log = LoggerFactory.getLogger(PeerBroadcast.class);

  /** Time in which observations are collected into one message. */
  private static final long COLLECT_MILLIS = 20;

  /** Maximum number of daemons that receive a message; the others read the report. */
  private static final int MAX_RECEIVERS = 64;

  private final String self;
  private final EventLoop loop;
  private final Supplier<List<T>> observations;
  private final Supplier<Collection<String>> daemons;
  private final Sender<T> sender;
  private final Runnable report;
  private boolean scheduled;

  /** Sends observations to a daemon. */
  public interface Sender<T> {
    /** Sends observations; fails if the daemon does not confirm them in time. */
    CompletableFuture<Void> send(String daemon, List<T> observations);
  }

  private PeerBroadcast(
      String self,
      EventLoop loop,
      Supplier<List<T>> observations,
      Supplier<Collection<String>> daemons,
      Sender<T> sender,
      Runnable report) {
    this.self = self;
    this.loop = loop;
    this.observations = observations;
    this.daemons = daemons;
    this.sender = sender;
    this.report = report;
  }

  /**
   * Creates a broadcast.
   *
   * @param self name of this daemon
   * @param observations supplies what is sent; may be empty
   * @param daemons names of the daemons that can be reached, which may include this one
   * @param report writes the report of this daemon to the store
   */
  public static <T> PeerBroadcast<T> create(
      String self,
      EventLoop loop,
      Supplier<List<T>> observations,
      Supplier<Collection<String>> daemons,
      Sender<T> sender,
      Runnable report) {
    return new PeerBroadcast<>(self, loop, observations, daemons, sender, report);
  }

  /** Sends the observations soon, together with those that follow within a moment. */
  public void schedule() {
    if (!scheduled) {
      scheduled = true;
      loop.schedule(this::send, COLLECT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void send() {
    scheduled = false;
    report.run();
    List<T> current = observations.get();
    if (current.isEmpty()) {
      return;
    }
    List<String> receivers = new ArrayList<>(daemons.get());
    receivers.remove(self);
    Collections.shuffle(receivers);
    for (String daemon : receivers.subList(0, Math.min(MAX_RECEIVERS, receivers.size()))) {
      sender
          .send(daemon, current)
          .whenComplete(
              (sent, failure) -> {
                if (failure != null) {
                  log.atInfo()
                      .addKeyValue("daemon", daemon)
                      .addKeyValue("content", current.get(0).getClass().getSimpleName())
                      .addKeyValue("reason", String.valueOf(failure.getMessage()))
                      .log("broadcast not delivered");
                }
              });
    }
  }
}
