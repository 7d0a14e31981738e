package org.heatherspread.daemon.membership;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.ListenableFuture;
import com.google.common.util.concurrent.MoreExecutors;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.config.ConfigurationFormat;
import org.heatherspread.core.config.CurrentConfiguration;
import org.heatherspread.core.membership.ExchangeMessage;
import org.heatherspread.core.model.Instance;
import org.heatherspread.daemon.peer.PeerChannels;
import org.heatherspread.protocol.generated.membership.ConfigurationReply;
import org.heatherspread.protocol.generated.membership.ConfigurationRequest;
import org.heatherspread.protocol.generated.membership.DaemonVersion;
import org.heatherspread.protocol.generated.membership.MembershipGrpc;
import org.heatherspread.protocol.generated.membership.ProbeReply;
import org.heatherspread.protocol.generated.membership.ProbeRequest;
import org.heatherspread.protocol.generated.membership.VersionReply;
import org.heatherspread.protocol.generated.membership.VersionRequest;

/**
 * Client of the membership protocol of other daemons.
 *
 * <p>Immutable and thread-safe. A future fails if no response arrives in time.
 */
public final class MembershipClient {
  private static final Duration EXCHANGE_TIMEOUT = Duration.ofMillis(1_000);
  private static final Duration REACHABILITY_TIMEOUT = Duration.ofMillis(800);
  private static final Duration CONFIGURATION_TIMEOUT = Duration.ofMillis(2_000);

  private final PeerChannels peers;
  private final MembershipCodec codec;
  private final ConfigurationFormat format;
  private final CurrentConfiguration config;
  private final MembershipMetrics metrics;

  MembershipClient(
      PeerChannels peers,
      MembershipCodec codec,
      ConfigurationFormat format,
      CurrentConfiguration config,
      MembershipMetrics metrics) {
    this.peers = peers;
    this.codec = codec;
    this.format = format;
    this.config = config;
    this.metrics = metrics;
  }

  CompletableFuture<ExchangeMessage> exchange(Instance peer, ExchangeMessage message) {
    var encoded = codec.encode(message);
    metrics.recordSent(encoded.getSerializedSize());
    return toFuture(stub(peer, EXCHANGE_TIMEOUT).exchange(encoded))
        .thenApply(
            reply -> {
              metrics.recordReceived(reply.getSerializedSize());
              return codec.decode(reply);
            });
  }

  CompletableFuture<Boolean> probe(Instance via, Instance target) {
    ProbeRequest request = ProbeRequest.newBuilder().setInstanceId(target.id()).build();
    return toFuture(stub(via, EXCHANGE_TIMEOUT).probe(request)).thenApply(ProbeReply::getAnswered);
  }

  /** Checks whether a daemon responds; completes with false instead of failing. */
  CompletableFuture<Boolean> isReachable(Instance target) {
    VersionRequest request = VersionRequest.getDefaultInstance();
    return toFuture(stub(target, REACHABILITY_TIMEOUT).versions(request))
        .handle((reply, failure) -> failure == null);
  }

  /**
   * Fetches a newer configuration from another daemon and applies it. Completes with false if that
   * daemon has not received any configuration yet.
   */
  public CompletableFuture<Boolean> fetchConfiguration(Instance from) {
    ConfigurationRequest request =
        ConfigurationRequest.newBuilder().setAfterVersion(config.get().version()).build();
    return toFuture(stub(from, CONFIGURATION_TIMEOUT).fetchConfiguration(request))
        .thenApply(this::applyReply);
  }

  private boolean applyReply(ConfigurationReply reply) {
    if (!reply.getKnown()) {
      return false;
    }
    if (!reply.getConfiguration().isEmpty()) {
      config.offer(format.readConfiguration(reply.getConfiguration().toStringUtf8()));
    } else {
      config.offer(codec.decodeLog(reply.getLogList()));
    }
    return true;
  }

  /**
   * Fetches the configuration versions by instance id of a daemon and, if {@code wholeDomain} is
   * set, of the other daemons of its failure domain, which it queries itself.
   */
  public CompletableFuture<Map<String, Long>> fetchVersions(
      Instance peer, boolean wholeDomain, Duration timeout) {
    VersionRequest request = VersionRequest.newBuilder().setWholeDomain(wholeDomain).build();
    return toFuture(stub(peer, timeout).versions(request))
        .thenApply(MembershipClient::versionsById);
  }

  private static Map<String, Long> versionsById(VersionReply reply) {
    Map<String, Long> versions = new HashMap<>();
    for (DaemonVersion version : reply.getVersionsList()) {
      versions.put(version.getInstanceId(), version.getConfigVersion());
    }
    return versions;
  }

  private MembershipGrpc.MembershipFutureStub stub(Instance peer, Duration timeout) {
    return MembershipGrpc.newFutureStub(peers.channel(peer))
        .withDeadlineAfter(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static <T> CompletableFuture<T> toFuture(ListenableFuture<T> call) {
    CompletableFuture<T> future = new CompletableFuture<>();
    Futures.addCallback(
        call,
        new FutureCallback<T>() {
          @Override
          public void onSuccess(T result) {
            future.complete(result);
          }

          @Override
          public void onFailure(Throwable failure) {
            future.completeExceptionally(failure);
          }
        },
        MoreExecutors.directExecutor());
    return future;
  }
}
