package org.heatherspread.node.peer;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.poison.CrashEvidence;
import org.heatherspread.relay.call.PoisonRequestFilter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends new crash evidence to other daemons at once, and has it reported to the store. The next
 * reports repeat it, so a lost message only delays it. Confined to the event loop.
 */
public final class CrashEvidenceExchange {
  private static final Logger log = LoggerFactory.getLogger(CrashEvidenceExchange.class);

  /** Time in which evidence of the same crash is collected into one message. */
  private static final long COLLECT_MILLIS = 20;

  /** Maximum number of daemons that receive a message; the others read the report. */
  private static final int MAX_RECEIVERS = 64;

  private final String self;
  private final EventLoop loop;
  private final PoisonRequestFilter filter;
  private final EvidenceClient client;
  private final Runnable report;
  private boolean scheduled;

  /** Client for messages to other daemons. */
  public interface EvidenceClient {
    /** Returns the names of the daemons that can be reached, which may include this one. */
    Collection<String> daemons();

    /** Sends evidence to a daemon. */
    CompletableFuture<Void> sendEvidence(String daemon, List<CrashEvidence> evidence);
  }

  private CrashEvidenceExchange(
      String self,
      EventLoop loop,
      PoisonRequestFilter filter,
      EvidenceClient client,
      Runnable report) {
    this.self = self;
    this.loop = loop;
    this.filter = filter;
    this.client = client;
    this.report = report;
  }

  /**
   * Starts to send the new evidence of a filter.
   *
   * @param self name of this daemon
   * @param report writes the report of this daemon to the store
   */
  public static void start(
      String self,
      EventLoop loop,
      PoisonRequestFilter filter,
      EvidenceClient client,
      Runnable report) {
    CrashEvidenceExchange exchange = new CrashEvidenceExchange(self, loop, filter, client, report);
    filter.onNewEvidence(exchange::schedule);
  }

  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      loop.schedule(this::send, COLLECT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void send() {
    scheduled = false;
    report.run();
    List<CrashEvidence> evidence = filter.evidence();
    if (evidence.isEmpty()) {
      return;
    }
    List<String> receivers = new ArrayList<>(client.daemons());
    receivers.remove(self);
    Collections.shuffle(receivers);
    for (String daemon : receivers.subList(0, Math.min(MAX_RECEIVERS, receivers.size()))) {
      client
          .sendEvidence(daemon, evidence)
          .whenComplete(
              (sent, failure) -> {
                if (failure != null) {
                  log.atInfo()
                      .addKeyValue("daemon", daemon)
                      .addKeyValue("reason", String.valueOf(failure.getMessage()))
                      .log("crash evidence not sent");
                }
              });
    }
  }
}
