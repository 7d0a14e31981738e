package org.heatherspread.node.peer;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.heatherspread.core.limit.LimitOwnerClient;
import org.heatherspread.core.serving.AccountRule;
import org.heatherspread.core.serving.ServingConfig;
import org.heatherspread.relay.call.RelayState;
import org.heatherspread.relay.caller.CallerAnswer;
import org.heatherspread.relay.caller.CallerHandler;
import org.heatherspread.relay.caller.CallerRequest;

/**
 * Answers other daemons: about limits that this daemon keeps, and about tables and loads that it
 * gathers for its failure domain. Confined to the event loop.
 */
public final class PeerRequestHandler implements CallerHandler {
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  /** Longest time for which a question is held, in milliseconds. */
  private static final long MAX_WAIT_MILLIS = 2_000;

  /**
   * Largest answer, in bytes. Larger changes are read from the store by each daemon, as they would
   * fill the link of one daemon that sends them to all others.
   */
  private static final int MAX_BYTES = 64 << 10;

  private static final byte[] EMPTY = new byte[0];

  private final RelayState state;
  private final BooleanSupplier reader;
  private final LoadExchange exchange;
  private final Map<String, MirroredTable> tables = new HashMap<>();

  private PeerRequestHandler(RelayState state, BooleanSupplier reader, LoadExchange exchange) {
    this.state = state;
    this.reader = reader;
    this.exchange = exchange;
  }

  /**
   * Creates a handler.
   *
   * @param reader whether this daemon reads for its failure domain
   */
  public static PeerRequestHandler create(
      RelayState state, BooleanSupplier reader, LoadExchange exchange) {
    return new PeerRequestHandler(state, reader, exchange);
  }

  /** Adds a table. */
  public void addTable(String name, MirroredTable table) {
    tables.put(name, table);
  }

  @Override
  public void handle(CallerRequest request, CallerAnswer answer) {
    QueryStringDecoder target = new QueryStringDecoder(request.target());
    try {
      switch (target.path()) {
        case PeerFormat.LIMIT_PATH -> limit(request, answer);
        case PeerFormat.CHANGES_PATH -> changes(target.parameters(), answer);
        case PeerFormat.LOADS_PATH -> loads(request, answer);
        case PeerFormat.DOMAIN_LOADS_PATH ->
            whole(answer, OK, PeerFormat.writeLoads(exchange.domainLoads()));
        default -> whole(answer, NOT_FOUND, EMPTY);
      }
    } catch (RuntimeException e) {
      whole(answer, BAD_REQUEST, EMPTY);
    }
  }

  private void limit(CallerRequest request, CallerAnswer answer) {
    PeerFormat.AdmissionRequest question = PeerFormat.readAdmissionRequest(request.body());
    Optional<AccountRule> account = state.config().flatMap(config -> named(config, question));
    LimitOwnerClient.Decision decision =
        account
            .map(rule -> state.accounts().decide(rule, question.amount()))
            .orElse(LimitOwnerClient.Decision.NOT_OWNER);
    whole(answer, OK, PeerFormat.writeDecision(decision));
  }

  private static Optional<AccountRule> named(
      ServingConfig config, PeerFormat.AdmissionRequest question) {
    return config.accounts().stream()
        .filter(account -> account.name().equals(question.account()))
        .findFirst();
  }

  private void loads(CallerRequest request, CallerAnswer answer) {
    PeerFormat.MemberLoads told = PeerFormat.readMemberLoads(request.body());
    whole(
        answer, OK, PeerFormat.writeLoads(exchange.recordMemberLoads(told.daemon(), told.loads())));
  }

  private void changes(Map<String, List<String>> query, CallerAnswer answer) {
    MirroredTable table = tables.get(query.get("table").get(0));
    if (table == null) {
      whole(answer, NOT_FOUND, EMPTY);
      return;
    }
    if (!reader.getAsBoolean()) {
      whole(answer, PeerFormat.NOT_READER, EMPTY);
      return;
    }
    long after = Long.parseLong(query.get("after").get(0));
    long wait = Math.min(MAX_WAIT_MILLIS, Long.parseLong(query.get("wait").get(0)));
    table.awaitChanges(after, wait, found -> changes(found, answer));
  }

  private static void changes(MirroredTable.ChangesResult found, CallerAnswer answer) {
    if (found instanceof MirroredTable.Unreachable) {
      whole(answer, UNAVAILABLE, EMPTY);
    } else if (found instanceof MirroredTable.HistoryLost) {
      whole(answer, PeerFormat.HISTORY_LOST, EMPTY);
    } else if (found instanceof MirroredTable.Changes changes) {
      byte[] body = PeerFormat.writeChanges(changes.reading());
      boolean fits = body.length <= MAX_BYTES;
      whole(answer, fits ? OK : PeerFormat.TOO_LARGE, fits ? body : EMPTY);
    }
  }

  private static void whole(CallerAnswer answer, int status, byte[] body) {
    answer.whole(
        status,
        new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json"),
        body);
  }
}
