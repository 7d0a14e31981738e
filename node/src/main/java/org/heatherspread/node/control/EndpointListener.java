package org.heatherspread.node.control;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.serving.RegisteredEndpoint;
import org.heatherspread.core.store.SharedReading;
import org.heatherspread.core.store.SharedRow;
import org.heatherspread.relay.call.RelayState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the table of endpoints like their registrations. A registration that vanishes while the
 * store was out of reach a moment ago may have lapsed only; its endpoint is used a little longer.
 * Confined to the event loop.
 */
final class EndpointListener implements TableListener {
  private static final Logger log = LoggerFactory.getLogger(EndpointListener.class);

  /** How long after trouble with the store registrations may be missing by mistake. */
  private static final long TROUBLE_MILLIS = 3_000;

  /** How long such an endpoint is used on, below the time in which endpoints register anew. */
  private static final long LAPSE_GRACE_MILLIS = 1_800;

  private final RelayState state;
  private final BiFunction<String, byte[], Optional<RegisteredEndpoint>> format;
  private long troubleMillis = -TROUBLE_MILLIS;
  private boolean known;

  EndpointListener(
      RelayState state, BiFunction<String, byte[], Optional<RegisteredEndpoint>> format) {
    this.state = state;
    this.format = format;
  }

  /** Tells whether the registrations have been read at least once. */
  boolean isInitialized() {
    return known;
  }

  @Override
  public void onFullRead(SharedReading reading) {
    known = true;
    Set<String> present = new HashSet<>();
    for (SharedRow row : reading.rows()) {
      present.add(row.key());
    }
    state.endpoints().markMissingExcept(present, unusableAt());
    onChanges(reading);
  }

  @Override
  public void onChanges(SharedReading reading) {
    for (SharedRow row : reading.rows()) {
      if (row.deleted()) {
        log.atInfo().addKeyValue("endpoint", row.key()).log("endpoint registration gone");
        state.endpoints().markMissing(row.key(), unusableAt());
        state.evacuate(row.key());
      } else {
        put(row);
      }
    }
    for (RegisteredEndpoint gone : state.endpoints().removeDrained(state.clock().millis())) {
      state.pool().retire(gone.address());
    }
  }

  private void put(SharedRow row) {
    Optional<RegisteredEndpoint> read = format.apply(row.key(), row.value());
    if (read.isEmpty()) {
      log.atWarn().addKeyValue("endpoint", row.key()).log("endpoint registration not readable");
      state.endpoints().markMissing(row.key(), state.clock().millis());
      return;
    }
    RegisteredEndpoint next = read.get();
    Optional<RegisteredEndpoint> before =
        state.endpoints().get(next.id()).map(TrackedEndpoint::registration);
    state
        .endpoints()
        .get(next.id())
        .filter(known -> known.registration().bornMillis() != next.bornMillis())
        .ifPresent(state.crashes()::crashed);
    state.endpoints().put(next);
    if (next.leaving() && before.isPresent() && !before.get().leaving()) {
      state.evacuate(next.id());
    }
    if (before.isEmpty() || !before.get().equals(next)) {
      log.atInfo()
          .addKeyValue("endpoint", next.id())
          .addKeyValue("service", next.service())
          .addKeyValue("address", next.address().toString())
          .addKeyValue("domain", next.domain())
          .addKeyValue("leaving", next.leaving())
          .addKeyValue("reclaimable", next.reclaimable())
          .addKeyValue("leaves_in_ms", next.leavesInMillis())
          .addKeyValue("row_version", row.version())
          .log("endpoint registered");
    }
  }

  private long unusableAt() {
    long now = state.clock().millis();
    return now - troubleMillis < TROUBLE_MILLIS ? now + LAPSE_GRACE_MILLIS : now;
  }

  @Override
  public void onFailure(String reason) {
    troubleMillis = state.clock().millis();
  }
}
