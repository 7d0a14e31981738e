package org.heatherspread.node.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** TCP proxy on loopback that injects faults into the connections through it. Thread-safe. */
final class FaultProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 8_192;
  private static final int POLL_INTERVAL_MILLIS = 20;

  /** Treatment of forwarded bytes and new connections. */
  enum Mode {
    /** Bytes are forwarded. */
    PASS,
    /** Bytes are forwarded after a delay. */
    DELAY,
    /** Bytes are held back in both directions; connections stay open. */
    STALL,
    /** Bytes to the server are held back; its responses are forwarded. */
    STALL_TO_SERVER,
    /** Bytes from the server are held back; requests are forwarded. */
    STALL_TO_CLIENT,
    /** New connections are closed immediately; open ones are forwarded. */
    REFUSE
  }

  private final ServerSocket listener;
  private final int targetPort;
  private final long delayMillis;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile Mode mode = Mode.PASS;

  private FaultProxy(ServerSocket listener, int targetPort, long delayMillis) {
    this.listener = listener;
    this.targetPort = targetPort;
    this.delayMillis = delayMillis;
  }

  /**
   * Starts a proxy.
   *
   * @param target port of the server behind it
   * @param delayMillis delay of each read in mode {@link Mode#DELAY}
   */
  static FaultProxy start(int targetPort, long delayMillis) throws IOException {
    ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    FaultProxy proxy = new FaultProxy(listener, targetPort, delayMillis);
    DaemonThreads.start("proxy-" + targetPort, proxy::accept);
    return proxy;
  }

  int port() {
    return listener.getLocalPort();
  }

  void setMode(Mode next) {
    mode = next;
  }

  /** Resets all open connections. */
  void resetConnections() {
    for (Socket socket : sockets) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // The socket was closed concurrently.
        sockets.remove(socket);
      }
    }
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket client = listener.accept();
        if (mode == Mode.REFUSE) {
          client.close();
          continue;
        }
        DaemonThreads.start("proxied-" + targetPort, () -> connect(client));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket client) {
    try (client;
        Socket server = new Socket("127.0.0.1", targetPort)) {
      client.setTcpNoDelay(true);
      server.setTcpNoDelay(true);
      sockets.add(client);
      sockets.add(server);
      Thread responses =
          DaemonThreads.start(
              "responses-" + targetPort, () -> copy(server, client, Mode.STALL_TO_CLIENT));
      copy(client, server, Mode.STALL_TO_SERVER);
      responses.join();
    } catch (IOException e) {
      // The server refused the connection, or one side closed it; both sockets are closed.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(client);
    }
  }

  private void copy(Socket from, Socket to, Mode stallMode) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int read = in.read(buffer);
      while (read >= 0) {
        if (mode == Mode.DELAY) {
          TimeUnit.MILLISECONDS.sleep(delayMillis);
        }
        while (mode == Mode.STALL || mode == stallMode) {
          TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        out.write(buffer, 0, read);
        read = in.read(buffer);
      }
    } catch (IOException e) {
      // One side was closed or reset; both sockets are closed below.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      close(from);
      close(to);
    }
  }

  private void close(Socket socket) {
    sockets.remove(socket);
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is unusable in any case.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    resetConnections();
  }
}
