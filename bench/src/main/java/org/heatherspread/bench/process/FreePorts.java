package org.heatherspread.bench.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds free TCP ports on the loopback interface. Stateless and thread-safe. */
final class FreePorts {
  private FreePorts() {}

  /** Returns distinct ports that were free during the call; another process may still take them. */
  static List<Integer> find(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        sockets.add(socket);
        ports.add(socket.getLocalPort());
      }
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
    return ports;
  }
}
