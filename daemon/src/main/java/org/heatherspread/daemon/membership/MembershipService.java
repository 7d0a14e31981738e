package org.heatherspread.daemon.membership;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.config.Configuration;
import org.heatherspread.core.config.ConfigurationFormat;
import org.heatherspread.core.config.CurrentConfiguration;
import org.heatherspread.core.config.LogEntry;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.model.Instance;
import org.heatherspread.protocol.generated.membership.ConfigurationReply;
import org.heatherspread.protocol.generated.membership.ConfigurationRequest;
import org.heatherspread.protocol.generated.membership.DaemonVersion;
import org.heatherspread.protocol.generated.membership.ExchangeMessage;
import org.heatherspread.protocol.generated.membership.MembershipGrpc;
import org.heatherspread.protocol.generated.membership.ProbeReply;
import org.heatherspread.protocol.generated.membership.ProbeRequest;
import org.heatherspread.protocol.generated.membership.VersionReply;
import org.heatherspread.protocol.generated.membership.VersionRequest;

/** Serves the membership protocol to other daemons. Immutable and thread-safe; no call blocks. */
final class MembershipService extends MembershipGrpc.MembershipImplBase {
  private static final Duration DOMAIN_QUERY_TIMEOUT = Duration.ofMillis(400);

  private final Instance self;
  private final MembershipComponent membership;
  private final MembershipClient client;
  private final MembershipCodec codec;
  private final ConfigurationFormat format;
  private final CurrentConfiguration config;
  private final MembershipMetrics metrics;

  MembershipService(
      Instance self,
      MembershipComponent membership,
      MembershipClient client,
      MembershipCodec codec,
      ConfigurationFormat format,
      CurrentConfiguration config,
      MembershipMetrics metrics) {
    this.self = self;
    this.membership = membership;
    this.client = client;
    this.codec = codec;
    this.format = format;
    this.config = config;
    this.metrics = metrics;
  }

  @Override
  public void exchange(ExchangeMessage request, StreamObserver<ExchangeMessage> out) {
    metrics.recordReceived(request.getSerializedSize());
    org.heatherspread.core.membership.ExchangeMessage message;
    try {
      message = codec.decode(request);
    } catch (IllegalArgumentException e) {
      metrics.recordMalformedMessage();
      out.onError(Status.INVALID_ARGUMENT.withDescription(e.getMessage()).asException());
      return;
    }
    membership
        .onRequest(message)
        .thenApply(codec::encode)
        .whenComplete(
            (reply, failure) -> {
              if (failure == null) {
                metrics.recordSent(reply.getSerializedSize());
              }
              respond(out, reply, failure);
            });
  }

  @Override
  public void probe(ProbeRequest request, StreamObserver<ProbeReply> out) {
    Optional<Member> target = membership.get().member(request.getInstanceId());
    CompletableFuture<Boolean> reachable =
        target.isEmpty()
            ? CompletableFuture.completedFuture(false)
            : client.isReachable(target.get().instance());
    reachable
        .thenApply(answered -> ProbeReply.newBuilder().setAnswered(answered).build())
        .whenComplete((reply, failure) -> respond(out, reply, failure));
  }

  @Override
  public void fetchConfiguration(
      ConfigurationRequest request, StreamObserver<ConfigurationReply> out) {
    Configuration current = config.get();
    Optional<List<LogEntry>> log = config.entriesAfter(request.getAfterVersion());
    ConfigurationReply.Builder reply =
        ConfigurationReply.newBuilder()
            .setVersion(current.version())
            .setKnown(config.isInitialized());
    if (log.isPresent() && request.getAfterVersion() > 0) {
      reply.addAllLog(codec.encodeLog(log.get()));
    } else {
      reply.setConfiguration(ByteString.copyFromUtf8(format.writeConfiguration(current)));
    }
    respond(out, reply.build(), null);
  }

  @Override
  public void versions(VersionRequest request, StreamObserver<VersionReply> out) {
    if (!request.getWholeDomain()) {
      respond(out, versionReply(Map.of()), null);
      return;
    }
    List<CompletableFuture<Map<String, Long>>> responses = new ArrayList<>();
    for (Member member : membership.get().daemons()) {
      Instance peer = member.instance();
      if (peer.domain().equals(self.domain()) && !peer.id().equals(self.id())) {
        responses.add(
            client
                .fetchVersions(peer, false, DOMAIN_QUERY_TIMEOUT)
                .exceptionally(failure -> Map.of()));
      }
    }
    CompletableFuture.allOf(responses.toArray(CompletableFuture[]::new))
        .thenApply(
            unused -> {
              Map<String, Long> all = new HashMap<>();
              responses.forEach(response -> all.putAll(response.join()));
              return versionReply(all);
            })
        .whenComplete((reply, failure) -> respond(out, reply, failure));
  }

  private VersionReply versionReply(Map<String, Long> others) {
    VersionReply.Builder reply = VersionReply.newBuilder();
    reply.addVersions(daemonVersion(self.id(), config.get().version()));
    others.forEach((id, version) -> reply.addVersions(daemonVersion(id, version)));
    return reply.build();
  }

  private static DaemonVersion daemonVersion(String id, long version) {
    return DaemonVersion.newBuilder().setInstanceId(id).setConfigVersion(version).build();
  }

  private static <T> void respond(StreamObserver<T> out, T reply, Throwable failure) {
    if (failure != null) {
      out.onError(Status.UNAVAILABLE.withCause(failure).asException());
      return;
    }
    out.onNext(reply);
    out.onCompleted();
  }
}
