package org.heatherspread.bench.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds free TCP ports on loopback. Stateless; safe for use by any thread. */
final class FreePorts {
  private FreePorts() {}

  /** Returns different ports that were free a moment ago. */
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
