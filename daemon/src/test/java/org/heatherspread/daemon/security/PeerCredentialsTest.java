package org.heatherspread.daemon.security;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.grpc.StatusRuntimeException;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.core.model.InstanceState;
import org.heatherspread.core.model.Market;
import org.heatherspread.daemon.peer.PeerChannels;
import org.heatherspread.daemon.peer.PeerServer;
import org.heatherspread.protocol.generated.membership.MembershipGrpc;
import org.heatherspread.protocol.generated.membership.VersionReply;
import org.heatherspread.protocol.generated.membership.VersionRequest;
import org.junit.jupiter.api.Test;

class PeerCredentialsTest {
  private static PeerTlsSettings settings(String owner) {
    return new PeerTlsSettings(
        file(owner + ".pem"), file(owner + ".key"), file("authority.pem"), "heatherspread-daemon");
  }

  private static String file(String name) {
    return PeerCredentialsTest.class.getResource("/peer-tls/" + name).getPath();
  }

  private static Instance server(int port) {
    return new Instance(
        "d1",
        1,
        InstanceKind.DAEMON,
        "",
        new FailureDomain("marmara", "kadikoy"),
        "127.0.0.1",
        1,
        port,
        "",
        Market.ON_DEMAND,
        0,
        InstanceState.LIVE,
        Optional.empty());
  }

  private static VersionReply call(int port, PeerCredentials credentials) {
    try (PeerChannels channels = PeerChannels.create(credentials)) {
      return MembershipGrpc.newBlockingStub(channels.channel(server(port)))
          .withDeadlineAfter(10, TimeUnit.SECONDS)
          .versions(VersionRequest.getDefaultInstance());
    }
  }

  @Test
  void onlyDaemonsWithTrustedCertificatesAreAccepted() throws IOException {
    MembershipGrpc.MembershipImplBase service =
        new MembershipGrpc.MembershipImplBase() {
          @Override
          public void versions(VersionRequest request, StreamObserver<VersionReply> out) {
            out.onNext(VersionReply.getDefaultInstance());
            out.onCompleted();
          }
        };
    int port = freePort();
    PeerCredentials trusted = PeerCredentials.load(settings("daemon"));
    try (PeerServer server =
        PeerServer.start("127.0.0.1", port, List.of(service), List.of(), trusted)) {
      assertThat(server).isNotNull();
      assertThat(call(port, trusted)).isNotNull();
      assertThatThrownBy(() -> call(port, PeerCredentials.load(settings("stranger"))))
          .isInstanceOf(StatusRuntimeException.class);
      assertThatThrownBy(() -> call(port, PeerCredentials.insecure()))
          .isInstanceOf(StatusRuntimeException.class);
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }
}
