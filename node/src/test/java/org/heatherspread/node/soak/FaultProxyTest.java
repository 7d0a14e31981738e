package org.heatherspread.node.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** What the soak injects must be possible on a real network. */
class FaultProxyTest {
  private static final int ROUNDS = 30;
  private static final int CONNECTIONS = 20;
  private static final int NONE = -1;

  private static ServerSocket startServer(AtomicInteger version) throws IOException {
    ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    DaemonThreads.start("server", () -> accept(server, version));
    return server;
  }

  private static void accept(ServerSocket server, AtomicInteger version) {
    try {
      while (true) {
        Socket accepted = server.accept();
        DaemonThreads.start("connection", () -> respond(accepted, version));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  /** Answers each byte with the version of the server. */
  private static void respond(Socket accepted, AtomicInteger version) {
    try (accepted) {
      while (accepted.getInputStream().read() >= 0) {
        accepted.getOutputStream().write(version.get());
      }
    } catch (IOException e) {
      // The proxy reset the connection.
    }
  }

  private static int requestVersion(Socket connection) {
    try {
      connection.setSoTimeout(5_000);
      connection.getOutputStream().write(1);
      return connection.getInputStream().read();
    } catch (IOException e) {
      return NONE;
    }
  }

  @Test
  void noConnectionOutlivesTheProcessThatItWasOpenedTo() throws Exception {
    AtomicInteger version = new AtomicInteger();
    try (ServerSocket server = startServer(version);
        FaultProxy proxy = FaultProxy.start(server.getLocalPort(), 0)) {
      for (int round = 1; round <= ROUNDS; round++) {
        List<Socket> former = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
          former.add(new Socket("127.0.0.1", proxy.port()));
        }
        int next = round;
        proxy.replaceProcess(() -> version.set(next));
        for (Socket each : former) {
          assertThat(requestVersion(each)).isEqualTo(NONE);
          each.close();
        }
        try (Socket later = new Socket("127.0.0.1", proxy.port())) {
          assertThat(requestVersion(later)).isEqualTo(round);
        }
      }
    }
  }
}
