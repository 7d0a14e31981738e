package org.heatherspread.daemon.peer;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.ServerInterceptor;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.heatherspread.daemon.security.PeerCredentials;

/**
 * Runs the gRPC server for calls of other daemons. Life cycle: {@link #start} once, {@link #close}
 * once.
 *
 * <p>Safe for use by any thread.
 */
public final class PeerServer implements AutoCloseable {
  private static final long MIN_PING_INTERVAL_MILLIS = 500;
  private static final long STOP_TIMEOUT_MILLIS = 500;

  private final Server server;

  private PeerServer(Server server) {
    this.server = server;
  }

  /** Starts a server without authentication; the interceptors run before each call. */
  public static PeerServer start(
      String host, int port, List<BindableService> services, List<ServerInterceptor> interceptors)
      throws IOException {
    return start(host, port, services, interceptors, PeerCredentials.insecure());
  }

  /** Starts a server with the credentials; the interceptors run before each call. */
  public static PeerServer start(
      String host,
      int port,
      List<BindableService> services,
      List<ServerInterceptor> interceptors,
      PeerCredentials credentials)
      throws IOException {
    NettyServerBuilder builder =
        NettyServerBuilder.forAddress(
                new InetSocketAddress(host, port), credentials.serverCredentials())
            .permitKeepAliveTime(MIN_PING_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
            .permitKeepAliveWithoutCalls(true);
    services.forEach(builder::addService);
    interceptors.forEach(builder::intercept);
    return new PeerServer(builder.build().start());
  }

  @Override
  public void close() {
    server.shutdown();
    try {
      if (!server.awaitTermination(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
        server.shutdownNow();
      }
    } catch (InterruptedException e) {
      server.shutdownNow();
      Thread.currentThread().interrupt();
    }
  }
}
