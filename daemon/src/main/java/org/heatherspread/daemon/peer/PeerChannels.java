package org.heatherspread.daemon.peer;

import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.model.Instance;
import org.heatherspread.daemon.security.PeerCredentials;

/**
 * Holds the gRPC channels to other daemons, one for each address, opened on first use. HTTP/2 pings
 * detect connections that stopped responding.
 *
 * <p>Safe for use by any thread.
 */
public final class PeerChannels implements AutoCloseable {
  private static final long PING_INTERVAL_MILLIS = 2_000;
  private static final long PING_TIMEOUT_MILLIS = 1_000;

  private final Map<String, ManagedChannel> channels = new ConcurrentHashMap<>();

  private final PeerCredentials credentials;

  private PeerChannels(PeerCredentials credentials) {
    this.credentials = credentials;
  }

  /** Creates an empty set of channels without authentication. */
  public static PeerChannels create() {
    return create(PeerCredentials.insecure());
  }

  /** Creates an empty set of channels that use the credentials. */
  public static PeerChannels create(PeerCredentials credentials) {
    return new PeerChannels(credentials);
  }

  /** Returns the channel to a daemon's gRPC server. */
  public ManagedChannel channel(Instance peer) {
    return channels.computeIfAbsent(address(peer), this::createChannel);
  }

  /** Shuts down the channels to all daemons except these; calls in progress complete. */
  public void retain(Collection<Instance> peers) {
    Set<String> retained = new HashSet<>();
    peers.forEach(peer -> retained.add(address(peer)));
    for (String address : Set.copyOf(channels.keySet())) {
      if (!retained.contains(address)) {
        channels.remove(address).shutdown();
      }
    }
  }

  private static String address(Instance peer) {
    return peer.host() + ":" + peer.peerPort();
  }

  private ManagedChannel createChannel(String address) {
    NettyChannelBuilder builder =
        NettyChannelBuilder.forTarget("dns:///" + address, credentials.channelCredentials());
    credentials.peerName().ifPresent(builder::overrideAuthority);
    return builder
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
