package org.heatherspread.node;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.SplittableRandom;
import org.heatherspread.core.freshness.StoreFreshness;
import org.heatherspread.core.freshness.UnixTimeEstimator;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.time.ManualClock;
import org.heatherspread.core.usage.UsageWindows;
import org.heatherspread.relay.call.AccountAdmission;
import org.heatherspread.relay.call.CallMetrics;
import org.heatherspread.relay.call.RelaySettings;
import org.heatherspread.relay.call.RelayState;

/** States of relays that have neither an event loop nor connections, for tests of control work. */
public final class RelayStates {
  /** Time for which keys are trusted without the store, in milliseconds. */
  public static final long KEY_TRUST_MILLIS = 4_000;

  /** Length of a window of usage, in milliseconds. */
  public static final long WINDOW_MILLIS = 5_000;

  private RelayStates() {}

  /**
   * Creates a state.
   *
   * @param accounts null where no request is admitted
   */
  public static RelayState create(
      ManualClock clock, StoreFreshness contact, AccountAdmission accounts) {
    return new RelayState(
        null,
        clock,
        new SplittableRandom(1),
        new RelaySettings(KEY_TRUST_MILLIS, 0.2, 10_000, 56),
        contact,
        UnixTimeEstimator.create(contact),
        null,
        CallMetrics.create(new SimpleMeterRegistry()),
        UsageWindows.create(WINDOW_MILLIS, 6),
        HealthPolicy.defaults(),
        null,
        accounts);
  }
}
