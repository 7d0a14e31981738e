package org.heatherspread.backing.http;

import java.util.Optional;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.core.model.InstanceState;
import org.heatherspread.core.model.Market;

/**
 * An instance in the JSON format of the platform's interfaces; see section 4 of docs/INTERFACES.md.
 */
public record InstanceJson(
    String id,
    long incarnation,
    InstanceKind kind,
    String service,
    String region,
    String domain,
    String host,
    int port,
    int peerPort,
    String machineClass,
    Market market,
    double pricePerHour,
    InstanceState state,
    Optional<Long> leavingAt) {

  /** Converts to the core model. */
  public Instance toInstance() {
    return new Instance(
        id,
        incarnation,
        kind,
        service == null ? "" : service,
        new FailureDomain(region, domain),
        host,
        port,
        peerPort,
        machineClass == null ? "" : machineClass,
        market,
        pricePerHour,
        state,
        leavingAt == null ? Optional.empty() : leavingAt);
  }
}
