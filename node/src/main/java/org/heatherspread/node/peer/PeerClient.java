package org.heatherspread.node.peer;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.fleet.FactLog.Position;
import org.heatherspread.core.limit.LimitOwnerClient;
import org.heatherspread.core.limit.LimitRequest;
import org.heatherspread.core.limit.RateLimit;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.core.store.SharedStore;
import org.heatherspread.core.store.StorePosition;
import org.heatherspread.relay.rpc.RpcClient;
import org.heatherspread.relay.rpc.RpcResponse;

/**
 * Client for calls to other daemons by name. Confined to the event loop of its RPC clients.
 *
 * <p>A call fails with a {@link ServingException} if the daemon is unknown, does not respond in
 * time or responds with an error.
 */
public final class PeerClient implements LoadExchange.LoadClient {
  /**
   * Timeout of requests that calls of callers wait for: well above a round trip to an instance that
   * has just started. What an instance does for a call that has timed out is done in vain, and the
   * next call waits behind it.
   */
  private static final Duration DECISION_TIMEOUT = Duration.ofMillis(500);

  /** Timeout of reports to owners of limits, for which no caller waits. */
  private static final Duration LIMIT_REPORT_TIMEOUT = Duration.ofSeconds(2);

  /** Timeout of lookups of origins, less than the time after which refused callers return. */
  private static final Duration ORIGIN_TIMEOUT = Duration.ofMillis(400);

  /** Time for a response to a long poll beyond the requested wait. */
  private static final Duration CHANGES_TIMEOUT = Duration.ofMillis(300);

  /** Timeout of messages that no caller waits for. */
  private static final Duration POST_TIMEOUT = Duration.ofMillis(500);

  /** Timeout of load exchanges, below the time between two of them. */
  private static final Duration LOADS_TIMEOUT = Duration.ofMillis(200);

  private static final byte[] EMPTY = new byte[0];

  private final String self;
  private final Function<HostPort, RpcClient> clientFactory;
  private final Map<String, HostPort> addresses = new HashMap<>();
  private List<String> liveDaemons = List.of();
  private final Map<HostPort, RpcClient> rpcClients = new HashMap<>();

  private PeerClient(String self, Function<HostPort, RpcClient> clientFactory) {
    this.self = self;
    this.clientFactory = clientFactory;
  }

  /**
   * Creates a client that opens an RPC client for each address.
   *
   * @param self name of this daemon
   */
  public static PeerClient create(String self, Function<HostPort, RpcClient> clientFactory) {
    return new PeerClient(self, clientFactory);
  }

  /**
   * Replaces the addresses of all daemons and drops the RPC clients of other addresses.
   *
   * @param next addresses of all daemons that may be called, as they may still own limits
   * @param live names of those that are live
   */
  public void updateAddresses(Map<String, HostPort> next, Set<String> live) {
    addresses.clear();
    addresses.putAll(next);
    liveDaemons = next.keySet().stream().filter(live::contains).toList();
    rpcClients.keySet().retainAll(addresses.values());
  }

  /** Returns a client for the owners of limits of client accounts. */
  public LimitOwnerClient accountLimits() {
    return new LimitClient(PeerFormat.LIMIT_PATH, PeerFormat.LIMIT_RELEASE_PATH);
  }

  /** Returns a client for the owners of limits of endpoints. */
  public LimitOwnerClient endpointLimits() {
    return new LimitClient(PeerFormat.ENDPOINT_LIMIT_PATH, PeerFormat.ENDPOINT_LIMIT_RELEASE_PATH);
  }

  /** Client for the owners of one kind of limits. */
  private final class LimitClient implements LimitOwnerClient {
    private final String admissionPath;
    private final String releasePath;

    private LimitClient(String admissionPath, String releasePath) {
      this.admissionPath = admissionPath;
      this.releasePath = releasePath;
    }

    @Override
    public CompletableFuture<Decision> requestAdmission(
        String daemon, RateLimit limit, LimitRequest request, double unreported) {
      byte[] body =
          PeerFormat.writeAdmissionRequest(
              PeerFormat.AdmissionRequest.of(limit, request, unreported));
      Duration timeout = request.amount() > 0 ? DECISION_TIMEOUT : LIMIT_REPORT_TIMEOUT;
      return call(daemon, HttpMethod.POST, admissionPath, body, timeout)
          .thenApply(response -> PeerFormat.readDecision(requireSuccess(daemon, response).body()));
    }

    @Override
    public CompletableFuture<Optional<String>> requestRelease(
        String daemon, String limit, String newOwner) {
      byte[] body = PeerFormat.writeReleaseRequest(new PeerFormat.ReleaseRequest(limit, newOwner));
      return call(daemon, HttpMethod.POST, releasePath, body, DECISION_TIMEOUT)
          .thenApply(response -> PeerFormat.readHolder(requireSuccess(daemon, response).body()));
    }
  }

  /**
   * Waits for rows of a table that changed after a position, as read by the daemon.
   *
   * @return fails with {@link SharedStore.HistoryLostException} if the daemon no longer has all
   *     changes after the position
   */
  CompletableFuture<SharedReadResult> awaitChanges(
      String daemon, String table, StorePosition after, Duration maxWait) {
    String target = PeerFormat.changesTarget(table, after, maxWait);
    return call(daemon, HttpMethod.GET, target, EMPTY, CHANGES_TIMEOUT.plus(maxWait))
        .thenApply(
            response -> {
              if (response.status() == PeerFormat.HISTORY_LOST) {
                throw new SharedStore.HistoryLostException(table);
              }
              return PeerFormat.readChanges(requireSuccess(daemon, response).body());
            });
  }

  @Override
  public CompletableFuture<ExchangedLoads> exchangeLoads(String reader, MemberUpdate update) {
    byte[] body = PeerFormat.writeMemberUpdate(update);
    return call(reader, HttpMethod.POST, PeerFormat.LOADS_PATH, body, LOADS_TIMEOUT)
        .thenApply(response -> PeerFormat.readLoads(requireSuccess(reader, response).body()));
  }

  @Override
  public CompletableFuture<ExchangedLoads> fetchDomainLoads(String reader, Position received) {
    byte[] body = PeerFormat.writePosition(received);
    return call(reader, HttpMethod.POST, PeerFormat.DOMAIN_LOADS_PATH, body, LOADS_TIMEOUT)
        .thenApply(response -> PeerFormat.readLoads(requireSuccess(reader, response).body()));
  }

  /** Returns the names of the live daemons, which may include this one. */
  public Collection<String> daemons() {
    return liveDaemons;
  }

  /** Sends origins of streams to a daemon, which keeps a copy. */
  CompletableFuture<Void> sendStreamOrigins(
      String daemon, List<SharedStreamOrigins.AttemptOrigin> origins) {
    return post(daemon, PeerFormat.STREAM_ORIGINS_PATH, PeerFormat.writeStreamOrigins(origins));
  }

  /** Asks a daemon for the origin of a stream. */
  CompletableFuture<OriginReply> findStreamOrigin(String daemon, PeerFormat.OriginQuery query) {
    byte[] body = PeerFormat.writeOriginQuery(query);
    return call(daemon, HttpMethod.POST, PeerFormat.STREAM_ORIGIN_PATH, body, ORIGIN_TIMEOUT)
        .thenApply(response -> PeerFormat.readOriginReply(requireSuccess(daemon, response).body()));
  }

  private CompletableFuture<Void> post(String daemon, String path, byte[] body) {
    return call(daemon, HttpMethod.POST, path, body, POST_TIMEOUT)
        .thenAccept(response -> requireSuccess(daemon, response));
  }

  private CompletableFuture<RpcResponse> call(
      String daemon, HttpMethod method, String target, byte[] body, Duration timeout) {
    HostPort address = addresses.get(daemon);
    if (address == null) {
      return CompletableFuture.failedFuture(
          ServingException.of(ErrorKind.STORE_UNAVAILABLE, "daemon " + daemon + " is unknown"));
    }
    return rpcClients
        .computeIfAbsent(address, clientFactory)
        .call(method, target, Map.of(), body, timeout);
  }

  private static RpcResponse requireSuccess(String daemon, RpcResponse response) {
    if (!response.isSuccess()) {
      ErrorKind kind =
          switch (response.status()) {
            case PeerFormat.NOT_READER -> ErrorKind.NOT_READY;
            case PeerFormat.TOO_LARGE -> ErrorKind.BODY_TOO_LARGE;
            default -> ErrorKind.STORE_UNAVAILABLE;
          };
      throw ServingException.of(
          kind, "daemon " + daemon + " responded with status " + response.status());
    }
    return response;
  }
}
