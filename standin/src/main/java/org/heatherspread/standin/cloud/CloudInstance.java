package org.heatherspread.standin.cloud;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Locale;

/**
 * An instance in the JSON form of the instance list and the cloud API; see section 4 of
 * docs/INTERFACES.md. Immutable.
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record CloudInstance(
    String id,
    long incarnation,
    String kind,
    String service,
    String region,
    String domain,
    String host,
    int port,
    int peerPort,
    String machineClass,
    String market,
    double pricePerHour,
    String state,
    Long leavingAt) {

  boolean inReclaimableMarket() {
    return "reclaimable".equals(market);
  }

  boolean inLeavingState() {
    return "leaving".equals(state);
  }

  CloudInstance withState(State newState, Long newLeavingAt) {
    return new CloudInstance(
        id,
        incarnation,
        kind,
        service,
        region,
        domain,
        host,
        port,
        peerPort,
        machineClass,
        market,
        pricePerHour,
        newState.name().toLowerCase(Locale.ROOT),
        newLeavingAt);
  }

  /** The state of an instance; written in lower case. */
  enum State {
    STARTING,
    LIVE,
    LEAVING
  }
}
