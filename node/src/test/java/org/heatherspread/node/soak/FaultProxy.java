package org.heatherspread.node.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.heatherspread.node.LoopbackSupport;

/** TCP proxy on loopback that injects faults into the connections through it. Thread-safe. */
final class FaultProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 8_192;
  private static final int POLL_INTERVAL_MILLIS = 20;
  private static final int WAITING_CONNECTIONS = 8;
  private static final long MAX_CLOSE_NANOS = 1_000_000_000;
  private static final int MAX_ACCEPT_MILLIS = 1_000;

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

  private final int port;
  private final int targetPort;
  private final long delayMillis;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Set<SocketChannel> waitingChannels = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket listener;
  private volatile Mode mode = Mode.PASS;
  private final AtomicReference<Replacement> replacement = new AtomicReference<>();
  private final AtomicInteger generation = new AtomicInteger();

  private FaultProxy(ServerSocket listener, int targetPort, long delayMillis) {
    this.listener = listener;
    this.port = listener.getLocalPort();
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
    FaultProxy proxy = new FaultProxy(listen(LoopbackSupport.freePort()), targetPort, delayMillis);
    proxy.startAccepting();
    return proxy;
  }

  private static ServerSocket listen(int port) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
    return socket;
  }

  private void startAccepting() {
    ServerSocket accepting = listener;
    DaemonThreads.start("proxy-" + targetPort, () -> accept(accepting));
  }

  /** Resets all connections and refuses new ones, as if the process behind it had ended. */
  void shutDown() throws IOException {
    listener.close();
    resetConnections();
  }

  /** Listens again on the same port after {@link #shutDown}. */
  void restart() throws IOException {
    listener = listen(port);
    startAccepting();
  }

  /** Refuses new connections; open ones live on. */
  void refuseConnections() throws IOException {
    listener.close();
  }

  /** Holds back all bytes, and leaves new connections without a response, as a partition does. */
  void hang() throws IOException {
    mode = Mode.STALL;
    listener.close();
    ServerSocket full = new ServerSocket();
    full.setReuseAddress(true);
    bindOnceFree(full);
    listener = full;
    // The system drops what opens further connections while this many wait to be accepted.
    for (int i = 0; i < WAITING_CONNECTIONS; i++) {
      SocketChannel waiting = SocketChannel.open();
      waiting.configureBlocking(false);
      waiting.connect(new InetSocketAddress("127.0.0.1", port));
      waitingChannels.add(waiting);
    }
  }

  /** Binds the port, which is in use while another thread still waits to accept. */
  private void bindOnceFree(ServerSocket socket) throws IOException {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port);
    long deadlineNanos = System.nanoTime() + MAX_CLOSE_NANOS;
    while (!socket.isBound()) {
      try {
        socket.bind(address, 1);
      } catch (BindException e) {
        if (System.nanoTime() > deadlineNanos) {
          throw e;
        }
        Thread.onSpinWait();
      }
    }
  }

  int port() {
    return port;
  }

  void setMode(Mode next) {
    mode = next;
  }

  /** Resets all open connections. */
  void resetConnections() {
    sockets.forEach(this::reset);
  }

  /** The replacement of the process behind the proxy, which begins with a connection of its own. */
  private record Replacement(int localPort, Runnable action, CountDownLatch done) {}

  /**
   * Lets another process take the place of the one behind the proxy. As the system does when a
   * process ends, resets all its connections, also those that wait to be accepted; refuses none.
   *
   * @param action replaces the process, before any later connection is forwarded
   */
  void replaceProcess(Runnable action) throws IOException {
    resetConnections();
    try (Socket last = new Socket()) {
      last.bind(new InetSocketAddress("127.0.0.1", 0));
      Replacement next = new Replacement(last.getLocalPort(), action, new CountDownLatch(1));
      replacement.set(next);
      // Connections are accepted in the order in which they were opened.
      last.connect(new InetSocketAddress("127.0.0.1", port), MAX_ACCEPT_MILLIS);
      next.done().await(MAX_ACCEPT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ConnectException | SocketTimeoutException e) {
      // Nothing accepts connections, so that there are none.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    Replacement left = replacement.getAndSet(null);
    if (left != null) {
      replace(left);
    }
  }

  private void replace(Replacement next) {
    generation.incrementAndGet();
    resetConnections();
    next.action().run();
    next.done().countDown();
  }

  /**
   * Returns whether a connection was opened by {@link #replaceProcess}, and replaces the process.
   */
  private boolean replacesProcess(Socket client) {
    Replacement next = replacement.get();
    if (next == null
        || next.localPort() != client.getPort()
        || !replacement.compareAndSet(next, null)) {
      return false;
    }
    replace(next);
    return true;
  }

  private void reset(Socket socket) {
    sockets.remove(socket);
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // The socket was closed concurrently.
    }
  }

  private void accept(ServerSocket accepting) {
    while (!accepting.isClosed()) {
      try {
        Socket client = accepting.accept();
        if (replacesProcess(client) || mode == Mode.REFUSE) {
          client.close();
          continue;
        }
        int accepted = generation.get();
        DaemonThreads.start("proxied-" + targetPort, () -> connect(client, accepted));
      } catch (IOException e) {
        return;
      }
    }
  }

  /**
   * Forwards a connection.
   *
   * @param accepted generation of the process to which it was opened
   */
  private void connect(Socket client, int accepted) {
    try (client;
        Socket server = new Socket("127.0.0.1", targetPort)) {
      client.setTcpNoDelay(true);
      server.setTcpNoDelay(true);
      sockets.add(client);
      sockets.add(server);
      if (accepted != generation.get()) {
        reset(client);
        reset(server);
        return;
      }
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
    boolean ended = false;
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
      ended = true;
    } catch (IOException e) {
      // One side was closed or reset; both sockets are closed below.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      close(from);
      if (ended) {
        close(to);
      } else {
        // An orderly close would make a response that ends with its connection look complete.
        reset(to);
      }
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
    for (SocketChannel waiting : waitingChannels) {
      waiting.close();
    }
    shutDown();
  }
}
