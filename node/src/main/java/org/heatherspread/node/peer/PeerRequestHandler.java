package org.heatherspread.node.peer;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import org.heatherspread.core.limit.LimitOwnerClient;
import org.heatherspread.core.serving.AccountConfig;
import org.heatherspread.core.serving.ServingConfig;
import org.heatherspread.core.store.StorePosition;
import org.heatherspread.relay.call.RelayState;
import org.heatherspread.relay.caller.CallerRequest;
import org.heatherspread.relay.caller.CallerRequestHandler;
import org.heatherspread.relay.caller.ResponseWriter;

/**
 * Handles requests from other daemons: for admission under limits that this daemon owns, for the
 * release of these limits, for the table changes and endpoint loads of its failure domain, and for
 * the facts that daemons have learned. Confined to the event loop.
 */
public final class PeerRequestHandler implements CallerRequestHandler {
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  /** Maximum wait of a long poll. */
  private static final long MAX_WAIT_MILLIS = 2_000;

  /**
   * Maximum size of changes in a response. Each daemon reads larger ones from the store, since they
   * would saturate the link of the one daemon that sends them to all others.
   */
  private static final int MAX_CHANGES_BYTES = 64 << 10;

  private static final byte[] EMPTY = new byte[0];

  private final RelayState state;
  private final BooleanSupplier isReader;
  private final LoadExchange loadExchange;
  private final SharedStreamOrigins streamOrigins;
  private final Map<String, MirroredTable> tables = new HashMap<>();

  private PeerRequestHandler(
      RelayState state,
      BooleanSupplier isReader,
      LoadExchange loadExchange,
      SharedStreamOrigins streamOrigins) {
    this.state = state;
    this.isReader = isReader;
    this.loadExchange = loadExchange;
    this.streamOrigins = streamOrigins;
  }

  /**
   * Creates a handler.
   *
   * @param isReader whether this daemon reads for its failure domain
   */
  public static PeerRequestHandler create(
      RelayState state,
      BooleanSupplier isReader,
      LoadExchange loadExchange,
      SharedStreamOrigins streamOrigins) {
    return new PeerRequestHandler(state, isReader, loadExchange, streamOrigins);
  }

  /** Adds a table whose changes other daemons can read. */
  public void addTable(String name, MirroredTable table) {
    tables.put(name, table);
  }

  @Override
  public void handle(CallerRequest request, ResponseWriter responseWriter) {
    QueryStringDecoder target = new QueryStringDecoder(request.target());
    try {
      switch (target.path()) {
        case PeerFormat.LIMIT_PATH -> handleAdmission(request, responseWriter);
        case PeerFormat.LIMIT_RELEASE_PATH ->
            handleRelease(request, responseWriter, state.accountAdmission()::release);
        case PeerFormat.ENDPOINT_LIMIT_PATH -> handleEndpointAdmission(request, responseWriter);
        case PeerFormat.ENDPOINT_LIMIT_RELEASE_PATH ->
            handleRelease(request, responseWriter, state.endpointLimits()::release);
        case PeerFormat.STREAM_ORIGINS_PATH -> handleStreamOrigins(request, responseWriter);
        case PeerFormat.STREAM_ORIGIN_PATH -> handleOriginLookup(request, responseWriter);
        case PeerFormat.LIMIT_OBSERVATIONS_PATH -> handleObservations(request, responseWriter);
        case PeerFormat.CRASH_EVIDENCE_PATH -> handleCrashEvidence(request, responseWriter);
        case PeerFormat.CHANGES_PATH -> handleChanges(target.parameters(), responseWriter);
        case PeerFormat.LOADS_PATH -> handleLoads(request, responseWriter);
        case PeerFormat.DOMAIN_LOADS_PATH ->
            respond(
                responseWriter,
                OK,
                PeerFormat.writeLoads(
                    loadExchange.domainLoads(PeerFormat.readPosition(request.body()))));
        default -> respond(responseWriter, NOT_FOUND, EMPTY);
      }
    } catch (RuntimeException e) {
      respond(responseWriter, BAD_REQUEST, EMPTY);
    }
  }

  private void handleAdmission(CallerRequest request, ResponseWriter responseWriter) {
    PeerFormat.AdmissionRequest admission = PeerFormat.readAdmissionRequest(request.body());
    Optional<AccountConfig> account =
        state.config().flatMap(config -> findAccount(config, admission));
    LimitOwnerClient.Decision decision =
        account
            .map(
                rule ->
                    state
                        .accountAdmission()
                        .decideAsOwner(rule, admission.request(), admission.unreported()))
            .orElse(LimitOwnerClient.Decision.declined(Optional.empty()));
    respond(responseWriter, OK, PeerFormat.writeDecision(decision));
  }

  private void handleEndpointAdmission(CallerRequest request, ResponseWriter responseWriter) {
    PeerFormat.AdmissionRequest admission = PeerFormat.readAdmissionRequest(request.body());
    LimitOwnerClient.Decision decision =
        state
            .endpointLimits()
            .decideAsOwner(
                admission.endpointLimit().orElseThrow(),
                admission.request().amount(),
                admission.unreported());
    respond(responseWriter, OK, PeerFormat.writeDecision(decision));
  }

  private void handleObservations(CallerRequest request, ResponseWriter responseWriter) {
    PeerFormat.LimitObservations received = PeerFormat.readObservations(request.body());
    state.endpointLimits().merge(received.daemon(), received.observations(), 0);
    respond(responseWriter, OK, EMPTY);
  }

  private void handleCrashEvidence(CallerRequest request, ResponseWriter responseWriter) {
    state.poisonFilter().mergeEvidence(PeerFormat.readCrashEvidence(request.body()), 0);
    respond(responseWriter, OK, EMPTY);
  }

  private void handleStreamOrigins(CallerRequest request, ResponseWriter responseWriter) {
    streamOrigins.merge(PeerFormat.readStreamOrigins(request.body()));
    respond(responseWriter, OK, EMPTY);
  }

  private void handleOriginLookup(CallerRequest request, ResponseWriter responseWriter) {
    PeerFormat.OriginQuery query = PeerFormat.readOriginQuery(request.body());
    OriginReply reply = streamOrigins.reply(query);
    respond(responseWriter, OK, PeerFormat.writeOriginReply(query, reply));
  }

  /** Releases a limit by its name and the name of its new owner. */
  private static void handleRelease(
      CallerRequest request,
      ResponseWriter responseWriter,
      BiFunction<String, String, Optional<String>> releaser) {
    PeerFormat.ReleaseRequest release = PeerFormat.readReleaseRequest(request.body());
    Optional<String> holder = releaser.apply(release.limit(), release.owner());
    respond(responseWriter, OK, PeerFormat.writeHolder(holder));
  }

  private static Optional<AccountConfig> findAccount(
      ServingConfig config, PeerFormat.AdmissionRequest admission) {
    return config.accounts().stream()
        .filter(account -> account.name().equals(admission.limit()))
        .findFirst();
  }

  private void handleLoads(CallerRequest request, ResponseWriter responseWriter) {
    MemberUpdate update = PeerFormat.readMemberUpdate(request.body());
    respond(responseWriter, OK, PeerFormat.writeLoads(loadExchange.recordMemberLoads(update)));
  }

  private void handleChanges(Map<String, List<String>> query, ResponseWriter responseWriter) {
    MirroredTable table = tables.get(query.get("table").get(0));
    if (table == null) {
      respond(responseWriter, NOT_FOUND, EMPTY);
      return;
    }
    if (!isReader.getAsBoolean()) {
      respond(responseWriter, PeerFormat.NOT_READER, EMPTY);
      return;
    }
    long era = Long.parseLong(query.getOrDefault("era", List.of("0")).get(0));
    StorePosition after = new StorePosition(era, Long.parseLong(query.get("after").get(0)));
    long waitMillis = Math.min(MAX_WAIT_MILLIS, Long.parseLong(query.get("wait").get(0)));
    table.awaitChanges(after, waitMillis, result -> respondWithChanges(result, responseWriter));
  }

  private static void respondWithChanges(
      MirroredTable.ChangesResult result, ResponseWriter responseWriter) {
    if (result instanceof MirroredTable.Unreachable) {
      respond(responseWriter, UNAVAILABLE, EMPTY);
    } else if (result instanceof MirroredTable.HistoryLost) {
      respond(responseWriter, PeerFormat.HISTORY_LOST, EMPTY);
    } else if (result instanceof MirroredTable.Changes changes) {
      byte[] body = PeerFormat.writeChanges(changes.result());
      boolean fits = body.length <= MAX_CHANGES_BYTES;
      respond(responseWriter, fits ? OK : PeerFormat.TOO_LARGE, fits ? body : EMPTY);
    }
  }

  private static void respond(ResponseWriter responseWriter, int status, byte[] body) {
    responseWriter.send(
        status,
        new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json"),
        body);
  }
}
