package org.heatherspread.core.model;

import java.util.Optional;

/**
 * An instance as listed by the platform. Immutable.
 *
 * @param id platform id of the instance
 * @param incarnation grows with each start of the process on the instance
 * @param kind kind of process on the instance
 * @param service service of an endpoint; empty for a daemon
 * @param domain failure domain of the instance
 * @param host IP address
 * @param port TCP port of the HTTP interface
 * @param peerPort TCP port of a daemon's gRPC interface; 0 for an endpoint
 * @param machineClass platform name of the machine size
 * @param market market in which the instance is bought
 * @param pricePerHour price in the deployment's currency
 * @param state state in the instance list, which lags
 * @param leavingAtMillis time at which a leaving instance ends, in milliseconds since the epoch
 */
public record Instance(
    String id,
    long incarnation,
    InstanceKind kind,
    String service,
    FailureDomain domain,
    String host,
    int port,
    int peerPort,
    String machineClass,
    Market market,
    double pricePerHour,
    InstanceState state,
    Optional<Long> leavingAtMillis) {

  /** Returns the base URL of the instance's HTTP interface. */
  public String baseUrl() {
    return "http://" + host + ":" + port;
  }

  /** Returns a copy in another state. */
  public Instance withState(InstanceState next) {
    return new Instance(
        id,
        incarnation,
        kind,
        service,
        domain,
        host,
        port,
        peerPort,
        machineClass,
        market,
        pricePerHour,
        next,
        leavingAtMillis);
  }

  /** Returns a copy that is leaving and ends at a time in milliseconds since the epoch. */
  public Instance withLeavingAt(long endsAtMillis) {
    return new Instance(
        id,
        incarnation,
        kind,
        service,
        domain,
        host,
        port,
        peerPort,
        machineClass,
        market,
        pricePerHour,
        InstanceState.LEAVING,
        Optional.of(endsAtMillis));
  }

  /** Returns a copy for a later start of the process. */
  public Instance withIncarnation(long next) {
    return new Instance(
        id,
        next,
        kind,
        service,
        domain,
        host,
        port,
        peerPort,
        machineClass,
        market,
        pricePerHour,
        state,
        leavingAtMillis);
  }
}
