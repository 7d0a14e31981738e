package org.heatherspread.daemon.peer;

import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.model.Instance;

/**
 * Connections to other daemons, one for each incarnation, opened on first use. HTTP/2 pings find
 * connections that went silent.
 *
 * <p>Safe for use by any thread.
 */
public final class PeerChannels implements AutoCloseable {
  private static final long PING_INTERVAL_MILLIS = 2_000;
  private static final long PING_TIMEOUT_MILLIS = 1_000;

  private final Map<String, ManagedChannel> channels = new ConcurrentHashMap<>();

  private PeerChannels() {}

  /** Creates an empty set of connections. */
  public static PeerChannels create() {
    return new PeerChannels();
  }

  /** Returns the connection to a daemon's gRPC interface. */
  public ManagedChannel channel(Instance peer) {
    String address = peer.host() + ":" + peer.peerPort();
    return channels.computeIfAbsent(address, PeerChannels::open);
  }

  private static ManagedChannel open(String address) {
    return NettyChannelBuilder.forTarget("dns:///" + address)
        .usePlaintext()
        .keepAliveTime(PING_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
        .keepAliveTimeout(PING_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .keepAliveWithoutCalls(false)
        .build();
  }

  @Override
  public void close() {
    channels.values().forEach(ManagedChannel::shutdownNow);
  }
}
