package org.heatherspread.node.peer;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.limit.LimitOwnerClient;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.store.SharedReading;
import org.heatherspread.core.store.SharedStore;
import org.heatherspread.relay.rpc.RpcClient;
import org.heatherspread.relay.rpc.RpcReply;

/**
 * Calls to other daemons by their names. Confined to the event loop of its clients.
 *
 * <p>A daemon that is not known, does not answer in time or answers an error fails the call with a
 * {@link ServingException}.
 */
public final class PeerClient implements LimitOwnerClient, LoadExchange.LoadClient {
  /**
   * Longest wait for a decision about a limit: well above a round trip on a busy instance, and
   * small beside the targets of requests.
   */
  private static final Duration LIMIT_TIMEOUT = Duration.ofMillis(150);

  /** Wait for an answer beyond the wait that was asked for. */
  private static final Duration CHANGES_TIMEOUT = Duration.ofMillis(300);

  /** Longest wait for loads, below the time between two exchanges. */
  private static final Duration LOADS_TIMEOUT = Duration.ofMillis(200);

  private static final byte[] EMPTY = new byte[0];

  private final Function<HostPort, RpcClient> factory;
  private final Map<String, HostPort> addresses = new HashMap<>();
  private final Map<HostPort, RpcClient> clients = new HashMap<>();

  private PeerClient(Function<HostPort, RpcClient> factory) {
    this.factory = factory;
  }

  /** Creates calls that open a client for each daemon. */
  public static PeerClient create(Function<HostPort, RpcClient> factory) {
    return new PeerClient(factory);
  }

  /** Replaces the addresses at which daemons are found. */
  public void updateAddresses(Map<String, HostPort> next) {
    addresses.clear();
    addresses.putAll(next);
    clients.keySet().retainAll(addresses.values());
  }

  @Override
  public CompletableFuture<Decision> requestAdmission(
      String daemon, String account, double amount) {
    byte[] body =
        PeerFormat.writeAdmissionRequest(new PeerFormat.AdmissionRequest(account, amount));
    return call(daemon, HttpMethod.POST, PeerFormat.LIMIT_PATH, body, LIMIT_TIMEOUT)
        .thenApply(reply -> PeerFormat.readDecision(ok(daemon, reply).body()));
  }

  /** Waits for rows of a table that changed after a version, as the daemon has read them. */
  CompletableFuture<SharedReading> awaitChanges(
      String daemon, String table, long after, Duration wait) {
    String target = PeerFormat.changesTarget(table, after, wait);
    return call(daemon, HttpMethod.GET, target, EMPTY, CHANGES_TIMEOUT.plus(wait))
        .thenApply(
            reply -> {
              if (reply.status() == PeerFormat.HISTORY_LOST) {
                throw new SharedStore.HistoryLostException(table);
              }
              return PeerFormat.readChanges(ok(daemon, reply).body());
            });
  }

  @Override
  public CompletableFuture<Map<String, EndpointLoad>> exchangeLoads(
      String reader, String self, Map<String, EndpointLoad> loads) {
    byte[] body = PeerFormat.writeMemberLoads(new PeerFormat.MemberLoads(self, loads));
    return call(reader, HttpMethod.POST, PeerFormat.LOADS_PATH, body, LOADS_TIMEOUT)
        .thenApply(reply -> PeerFormat.readLoads(ok(reader, reply).body()));
  }

  @Override
  public CompletableFuture<Map<String, EndpointLoad>> fetchDomainLoads(String reader) {
    return call(reader, HttpMethod.GET, PeerFormat.DOMAIN_LOADS_PATH, EMPTY, LOADS_TIMEOUT)
        .thenApply(reply -> PeerFormat.readLoads(ok(reader, reply).body()));
  }

  private CompletableFuture<RpcReply> call(
      String daemon, HttpMethod method, String target, byte[] body, Duration timeout) {
    HostPort address = addresses.get(daemon);
    if (address == null) {
      return CompletableFuture.failedFuture(
          ServingException.of(ErrorKind.STORE_UNAVAILABLE, "daemon " + daemon + " is not known"));
    }
    return clients.computeIfAbsent(address, factory).call(method, target, Map.of(), body, timeout);
  }

  private static RpcReply ok(String daemon, RpcReply reply) {
    if (!reply.ok()) {
      ErrorKind kind =
          switch (reply.status()) {
            case PeerFormat.NOT_READER -> ErrorKind.NOT_READY;
            case PeerFormat.TOO_LARGE -> ErrorKind.BODY_TOO_LARGE;
            default -> ErrorKind.STORE_UNAVAILABLE;
          };
      throw ServingException.of(kind, "daemon " + daemon + " answered " + reply.status());
    }
    return reply;
  }
}
