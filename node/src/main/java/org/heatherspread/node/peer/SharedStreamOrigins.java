package org.heatherspread.node.peer;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.routing.RendezvousHash;
import org.heatherspread.core.stream.OpenStreams;
import org.heatherspread.core.stream.StreamOrigin;
import org.heatherspread.core.stream.StreamOriginTable;
import org.heatherspread.core.stream.StreamReport;
import org.heatherspread.relay.call.StreamOrigins;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds the origins of the streams of all daemons, also after daemons have ended.
 *
 * <p>While a service has several versions, the daemon that began a stream keeps its origin and
 * sends copies to a few others, which are selected by rendezvous hashing of the attempt's id. After
 * all daemons were killed, the last reports tell ({@link StreamReport}). A lookup asks more daemons
 * than hold a copy, since the views of the fleet differ for a while after daemons join or end. What
 * this daemon infers from the versions that it sees must be confirmed ({@link OriginLookup}), since
 * it may have been suspended or cut off while a version joined. A stream whose origin is not
 * certain has none. Confined to the event loop.
 */
public final class SharedStreamOrigins implements StreamOrigins {
  private static final Logger log = LoggerFactory.getLogger(SharedStreamOrigins.class);

  /** Number of other daemons that keep a copy. */
  private static final int COPIES = 3;

  /** Number of daemons that a lookup asks. */
  private static final int ASKED_DAEMONS = 5;

  /** Time for which a resumed stream may be resumed again. */
  private static final long RESUMED_RETENTION_MILLIS = 20_000;

  /** Time for which an origin is kept after the time for which the caller waits. */
  private static final long EXTRA_RETENTION_MILLIS = 20_000;

  /** Upper bound on the time for which a caller is assumed to wait. */
  private static final long MAX_WAIT_MILLIS = 60_000;

  /** Time in which origins are collected into one message for each daemon. */
  private static final long COLLECT_MILLIS = 10;

  private final String self;
  private final EventLoop loop;
  private final StreamOriginTable table;
  private final OpenStreams openStreams;
  private final PeerClient peers;
  private final ReportView reports;
  private Runnable misleadingReportListener = () -> {};
  private final Map<String, List<AttemptOrigin>> pending = new HashMap<>();

  /**
   * The origin of the stream that answers an attempt; sent as JSON under the names of its
   * components.
   *
   * @param retentionMillis time for which to keep it
   */
  public record AttemptOrigin(
      String attemptId, String service, String version, long retentionMillis) {}

  /** What the reports of all daemons tell of recent streams. */
  public interface ReportView {
    /** Returns the recent reports, including those of daemons that ended. */
    Collection<StreamReport> streamReports();

    /**
     * Returns the recent reports of daemons that may have begun a stream.
     *
     * @param callerWaitMillis time for which its caller still waits
     */
    Collection<StreamReport> streamReports(long callerWaitMillis);

    /** Returns the present era of the store. */
    long storeEra();

    /** Returns the versions of the registered endpoints of a service. */
    Set<String> registeredVersions(String service);
  }

  private SharedStreamOrigins(
      String self,
      EventLoop loop,
      StreamOriginTable table,
      OpenStreams openStreams,
      PeerClient peers,
      ReportView reports) {
    this.self = self;
    this.loop = loop;
    this.table = table;
    this.openStreams = openStreams;
    this.peers = peers;
    this.reports = reports;
  }

  /**
   * Creates an instance over a table and open streams that are not shared.
   *
   * @param self name of this daemon
   */
  public static SharedStreamOrigins create(
      String self,
      EventLoop loop,
      StreamOriginTable table,
      OpenStreams openStreams,
      PeerClient peers,
      ReportView reports) {
    return new SharedStreamOrigins(self, loop, table, openStreams, peers, reports);
  }

  @Override
  public void record(String attemptId, StreamOrigin origin, long callerWaitMillis) {
    long retentionMillis = EXTRA_RETENTION_MILLIS + 2 * Math.min(callerWaitMillis, MAX_WAIT_MILLIS);
    table.add(attemptId, origin, retentionMillis);
    boolean longest = openStreams.begin(attemptId, origin, callerWaitMillis, retentionMillis);
    Optional<String> assigned = assignedVersion(origin.service(), attemptId);
    if (longest || (assigned.isPresent() && !assigned.get().equals(origin.version()))) {
      // No endpoint of the assigned version was in use, or the time for which streams may be
      // resumed has grown, so the reports would mislead.
      misleadingReportListener.run();
    }
    if (findSingle(origin.service()).equals(Optional.of(origin))) {
      return;
    }
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

  /** Sets an action that reports open streams to the store at once. */
  public void onMisleadingReport(Runnable listener) {
    misleadingReportListener = listener;
  }

  @Override
  public Optional<String> assignedVersion(String service, String attemptId) {
    return openStreams.assignedVersion(service, attemptId);
  }

  @Override
  public void complete(String attemptId) {
    openStreams.complete(attemptId);
  }

  /** Returns whether streams can be resumed only if their origins are reported one by one. */
  public boolean needsReports() {
    return openStreams.services().stream().anyMatch(service -> findSingle(service).isEmpty());
  }

  /** Returns the origin of every recent stream of a service, if this daemon sees only one. */
  private Optional<StreamOrigin> findSingle(String service) {
    Set<String> ownVersions = new HashSet<>(reports.registeredVersions(service));
    openStreams.addVersions(service, ownVersions);
    return StreamReport.findSingleVersion(
            reports.streamReports(), reports.storeEra(), service, ownVersions)
        .map(version -> new StreamOrigin(service, version));
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

  /** Returns what this daemon knows of the origin of a stream. */
  OriginReply reply(PeerFormat.OriginQuery query) {
    Optional<StreamOrigin> known = findRecorded(query.attempt());
    boolean inferable = known.isEmpty() && query.service() != null;
    return new OriginReply(known, inferable ? infer(query) : Optional.empty());
  }

  /** Returns the origin of an attempt as recorded when its stream began. */
  private Optional<StreamOrigin> findRecorded(String attemptId) {
    return table
        .find(attemptId)
        .or(() -> StreamReport.findOpen(reports.streamReports(), attemptId));
  }

  /** Returns the only origin that the versions in use allow, as far as this daemon sees them. */
  private Optional<StreamOrigin> infer(PeerFormat.OriginQuery query) {
    Optional<StreamOrigin> single = findSingle(query.service());
    if (single.isPresent() || query.attempt().isEmpty()) {
      return single;
    }
    return StreamReport.findAssigned(
            reports.streamReports(Math.min(query.waitMillis(), MAX_WAIT_MILLIS)),
            reports.storeEra(),
            query.attempt(),
            query.service())
        .map(version -> new StreamOrigin(query.service(), version));
  }

  @Override
  public CompletableFuture<Optional<StreamOrigin>> find(
      String attemptId, String service, long callerWaitMillis) {
    PeerFormat.OriginQuery query = new PeerFormat.OriginQuery(attemptId, service, callerWaitMillis);
    Optional<StreamOrigin> recorded = findRecorded(attemptId);
    CompletableFuture<Optional<StreamOrigin>> found =
        recorded.isPresent() ? CompletableFuture.completedFuture(recorded) : lookUp(query);
    return found.thenApply(origin -> keep(attemptId, origin));
  }

  /** Lets the next report name the stream again, in case all daemons end once more. */
  private Optional<StreamOrigin> keep(String attemptId, Optional<StreamOrigin> origin) {
    if (!attemptId.isEmpty()) {
      origin.ifPresent(known -> openStreams.open(attemptId, known, RESUMED_RETENTION_MILLIS));
    }
    return origin;
  }

  /** Asks other daemons for the origin of a stream of which this one has no record. */
  private CompletableFuture<Optional<StreamOrigin>> lookUp(PeerFormat.OriginQuery query) {
    String key = query.attempt().isEmpty() ? query.service() : query.attempt();
    List<String> daemons = selectDaemons(key, ASKED_DAEMONS);
    Optional<StreamOrigin> inferred = infer(query);
    OriginLookup lookup = OriginLookup.create(inferred, daemons.size());
    for (String daemon : daemons) {
      peers
          .findStreamOrigin(daemon, query)
          .whenComplete(
              (reply, failure) -> {
                if (failure == null) {
                  lookup.onReply(reply);
                } else {
                  lookup.onFailure();
                }
              });
    }
    return lookup
        .result()
        .thenApply(
            origin -> {
              if (origin.isEmpty() && inferred.isPresent()) {
                logUnconfirmed(query, inferred.get(), daemons.size());
              }
              return origin;
            });
  }

  private static void logUnconfirmed(
      PeerFormat.OriginQuery query, StreamOrigin inferred, int askedDaemons) {
    log.atInfo()
        .addKeyValue("resumes", query.attempt())
        .addKeyValue("service", query.service())
        .addKeyValue("version", inferred.version())
        .addKeyValue("asked", askedDaemons)
        .log("stream origin not confirmed by other daemons");
  }

  private List<String> selectDaemons(String attemptId, int count) {
    List<String> others = new ArrayList<>(peers.daemons());
    others.remove(self);
    return RendezvousHash.select(others, attemptId, count);
  }
}
