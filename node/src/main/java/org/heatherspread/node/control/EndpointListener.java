package org.heatherspread.node.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.serving.RegisteredEndpoint;
import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.core.store.SharedRow;
import org.heatherspread.relay.call.RelayState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies endpoint registrations to the relay's endpoint table. A registration that disappears
 * shortly after a store failure may merely have expired during it, and one that disappears or is no
 * longer leaving when the store was restored from an earlier copy may be written again, so its
 * endpoint stays as it was for a grace period.
 *
 * <p>Invariant: the grace period begins when the store returns and not when a registration is found
 * to be missing, since one that is removed after the return is that of an endpoint that leaves.
 * Confined to the event loop.
 */
final class EndpointListener implements TableListener {
  private static final Logger log = LoggerFactory.getLogger(EndpointListener.class);

  /** Time after the return of the store in which registrations may be missing by mistake. */
  private static final long LAPSE_WINDOW_MILLIS = 3_000;

  /**
   * Time after the return of the store for which endpoints without a registration stay in use,
   * shorter than the time in which endpoints register again.
   */
  private static final long EXPIRY_GRACE_MILLIS = 1_800;

  /**
   * Time by which a registration may be older than the read before the one that returned it, as the
   * store may perform a call late.
   */
  private static final long MAX_WRITE_DELAY_MILLIS = 3_000;

  private final Map<String, Long> rowVersions = new HashMap<>();
  private final RelayState state;
  private final BiFunction<String, byte[], Optional<RegisteredEndpoint>> parser;
  private long recoveredMillis = -LAPSE_WINDOW_MILLIS;
  private long lastReadMillis = -MAX_WRITE_DELAY_MILLIS;
  private boolean failing;
  private boolean initialized;

  /** Row versions of the unreadable registrations that have been logged. */
  private final Map<String, Long> unreadableVersions = new HashMap<>();

  /**
   * Creates a listener.
   *
   * @param parser parses the key and value of a row; empty if they are no registration
   */
  EndpointListener(
      RelayState state, BiFunction<String, byte[], Optional<RegisteredEndpoint>> parser) {
    this.state = state;
    this.parser = parser;
  }

  /** Returns whether the registrations have been read at least once. */
  boolean isInitialized() {
    return initialized;
  }

  @Override
  public void onFullRead(SharedReadResult result, boolean restored) {
    if (restored) {
      failing = true;
    }
    recordRecovery();
    initialized = true;
    Set<String> present = new HashSet<>();
    for (SharedRow row : result.rows()) {
      present.add(row.key());
    }
    for (TrackedEndpoint endpoint : state.endpoints().all()) {
      if (!present.contains(endpoint.id())) {
        recordEnd(endpoint.id());
      }
    }
    rowVersions.keySet().retainAll(present);
    state.endpoints().markMissingExcept(present, unusableFromMillis());
    unreadableVersions.keySet().retainAll(present);
    onChanges(result);
  }

  @Override
  public void onChanges(SharedReadResult result) {
    recordRecovery();
    for (SharedRow row : result.rows()) {
      if (row.deleted()) {
        log.atInfo().addKeyValue("endpoint", row.key()).log("endpoint registration gone");
        unreadableVersions.remove(row.key());
        recordEnd(row.key());
        rowVersions.remove(row.key());
        state.endpoints().markMissing(row.key(), unusableFromMillis());
        state.scheduleMigration(row.key());
      } else {
        applyRegistration(row);
        confirmRunning(row);
      }
    }
    lastReadMillis = state.clock().millis() - result.ageMillis();
    for (RegisteredEndpoint removed : state.endpoints().removeDrained(state.clock().millis())) {
      state.connectionPool().retire(removed.address());
    }
  }

  /** A registration that was written since the last read shows that its endpoint runs. */
  private void confirmRunning(SharedRow row) {
    Long previous = rowVersions.put(row.key(), row.version());
    if (previous != null && row.version() > previous) {
      state
          .endpoints()
          .get(row.key())
          .ifPresent(
              endpoint ->
                  state
                      .stoppedEndpoints()
                      .confirmRunning(endpoint, lastReadMillis - MAX_WRITE_DELAY_MILLIS));
    }
  }

  private void recordRecovery() {
    state.recordRegistrationsReadable(true);
    if (failing) {
      failing = false;
      recoveredMillis = state.clock().millis();
    }
  }

  /** Counts the connections lost to an endpoint as a crash if its registration did not lapse. */
  private void recordEnd(String id) {
    if (!mayHaveLapsed()) {
      state.endpoints().get(id).ifPresent(state.poisonFilter()::endpointCrashed);
    }
  }

  private void applyRegistration(SharedRow row) {
    Optional<RegisteredEndpoint> parsed = parser.apply(row.key(), row.value());
    if (parsed.isEmpty()) {
      logUnreadable(row);
      state.endpoints().markMissing(row.key(), state.clock().millis());
      return;
    }
    unreadableVersions.remove(row.key());
    RegisteredEndpoint next = parsed.get();
    if (mayHaveLapsed() && isLeavingIncarnation(next)) {
      return;
    }
    Optional<RegisteredEndpoint> previous =
        state.endpoints().get(next.id()).map(TrackedEndpoint::registration);
    state
        .endpoints()
        .get(next.id())
        .filter(endpoint -> endpoint.registration().startedAtMillis() != next.startedAtMillis())
        .ifPresent(state.poisonFilter()::endpointCrashed);
    state.endpoints().put(next);
    if (next.leaving() && previous.isPresent() && !previous.get().leaving()) {
      state.scheduleMigration(next.id());
    }
    if (previous.isEmpty() || !previous.get().equals(next)) {
      log.atInfo()
          .addKeyValue("endpoint", next.id())
          .addKeyValue("service", next.service())
          .addKeyValue("address", next.address().toString())
          .addKeyValue("domain", next.domain())
          .addKeyValue("version", next.version())
          .addKeyValue("incarnation", next.startedAtMillis())
          .addKeyValue("leaving", next.leaving())
          .addKeyValue("reclaimable", next.reclaimable())
          .addKeyValue("leaves_in_ms", next.remainingMillis())
          .addKeyValue("row_version", row.version())
          .log("endpoint registered");
    }
  }

  /** Logs each version of a row once, although full reads return it again. */
  private void logUnreadable(SharedRow row) {
    Long logged = unreadableVersions.put(row.key(), row.version());
    if (logged == null || logged != row.version()) {
      log.atWarn()
          .addKeyValue("endpoint", row.key())
          .addKeyValue("row_version", row.version())
          .log("endpoint registration not readable");
    }
  }

  /** Returns whether an endpoint has given notice, which a registration does not repeat. */
  private boolean isLeavingIncarnation(RegisteredEndpoint next) {
    return !next.leaving()
        && state
            .endpoints()
            .get(next.id())
            .map(TrackedEndpoint::registration)
            .filter(known -> known.startedAtMillis() == next.startedAtMillis())
            .map(RegisteredEndpoint::leaving)
            .orElse(false);
  }

  /** Returns the time from which an endpoint without a registration is no longer used. */
  private long unusableFromMillis() {
    return Math.max(state.clock().millis(), recoveredMillis + EXPIRY_GRACE_MILLIS);
  }

  private boolean mayHaveLapsed() {
    return state.clock().millis() - recoveredMillis < LAPSE_WINDOW_MILLIS;
  }

  @Override
  public void onFailure(String reason) {
    failing = true;
    state.recordRegistrationsReadable(false);
  }
}
