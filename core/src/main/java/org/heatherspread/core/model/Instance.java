package org.heatherspread.core.model;

import java.util.Optional;

/**
 * One instance as the platform's instance list gives it. Immutable.
 *
 * @param id the platform's id of the instance
 * @param incarnation grows each time the process on the instance starts anew
 * @param kind what runs on it
 * @param service the service an endpoint belongs to; empty for a daemon
 * @param domain the failure domain that holds it
 * @param host IP number
 * @param port TCP port of its HTTP interface
 * @param peerPort TCP port of a daemon's gRPC interface; 0 for an endpoint
 * @param machineClass the platform's name for the size of the machine
 * @param market how it is bought
 * @param pricePerHour price in the deployment's currency
 * @param state state in the list, which lags
 * @param leavingAtMillis when a leaving instance ends, in milliseconds since the epoch
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
