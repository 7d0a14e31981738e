package org.heatherspread.daemon;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.InstantSource;
import java.util.function.Supplier;
import org.apache.pekko.actor.typed.ActorSystem;
import org.heatherspread.core.config.Configuration;
import org.heatherspread.core.membership.Dissemination;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.store.TableStore;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.daemon.peer.PeerChannels;

/**
 * The objects that all components of a daemon share. Immutable; all members are safe for use by any
 * thread.
 *
 * @param self this daemon's own instance
 * @param system the actor system
 * @param meters the registry for metrics
 * @param clock monotonic clock for intervals
 * @param wallClock clock for times that other processes read
 * @param membership this daemon's local view of all instances
 * @param configuration the current configuration at this daemon
 * @param dissemination sends soft state to all daemons
 * @param store the platform's table service
 * @param peers channels to other daemons
 */
public record DaemonContext(
    Instance self,
    ActorSystem<Void> system,
    MeterRegistry meters,
    MonotonicClock clock,
    InstantSource wallClock,
    Supplier<MembershipSnapshot> membership,
    Supplier<Configuration> configuration,
    Dissemination dissemination,
    TableStore store,
    PeerChannels peers) {}
