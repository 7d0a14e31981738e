package org.heatherspread.relay.call;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.relay.endpoint.ConnectionPool;
import org.heatherspread.relay.endpoint.PoolSettings;

/**
 * Daemons that can serve requests which this daemon cannot, as a partition separates it from the
 * endpoints. Callers keep the addresses of daemons for seconds, so that those on their way to such
 * a daemon cannot be directed elsewhere. Confined to the event loop.
 */
public final class Forwarding {
  /** Time to connect to another daemon, which others than those in reach do not take. */
  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  /** Idle time of connections, well below the idle timeout of daemons. */
  private static final long MAX_IDLE_MILLIS = 5_000;

  private final RandomGenerator random;
  private final ConnectionPool connections;
  private Supplier<Map<String, HostPort>> targets = Map::of;
  private String self = "";

  private Forwarding(RandomGenerator random, ConnectionPool connections) {
    this.random = random;
    this.connections = connections;
  }

  /** Creates an instance that knows no other daemons. */
  static Forwarding create(EventLoop loop, MonotonicClock clock, RandomGenerator random) {
    PoolSettings settings = new PoolSettings(CONNECT_TIMEOUT_MILLIS, MAX_IDLE_MILLIS);
    return new Forwarding(random, ConnectionPool.create(loop, clock, settings, null));
  }

  /**
   * Sets the other daemons.
   *
   * @param daemon name of this daemon
   * @param reachable supplies the addresses for daemons, by name, of those that accept requests and
   *     have a path to the endpoints
   */
  public void setTargets(String daemon, Supplier<Map<String, HostPort>> reachable) {
    self = daemon;
    targets = reachable;
  }

  /** A daemon to which a request can be forwarded. */
  record Target(String daemon, HostPort address) {}

  /** Chooses any daemon but those that were tried, empty if there is none. */
  Optional<Target> choose(Set<String> tried) {
    List<Target> candidates = new ArrayList<>();
    targets
        .get()
        .forEach(
            (daemon, address) -> {
              if (!tried.contains(daemon)) {
                candidates.add(new Target(daemon, address));
              }
            });
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  String self() {
    return self;
  }

  ConnectionPool connections() {
    return connections;
  }
}
