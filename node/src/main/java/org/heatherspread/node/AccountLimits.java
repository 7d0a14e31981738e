package org.heatherspread.node;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.limit.LimitOwnerClient;
import org.heatherspread.core.limit.OvershootAllowance;
import org.heatherspread.core.limit.PartitionedLimiter;
import org.heatherspread.core.limit.SpendingOrder;
import org.heatherspread.core.serving.Feature;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.node.settings.NodeSettings;
import org.heatherspread.relay.call.LimitAdmission;
import org.heatherspread.relay.call.LimitRefusalLog;

/**
 * Creates the admission control of client accounts, and publishes how much of each limit is used.
 * Confined to the daemon's event loop.
 */
final class AccountLimits {
  private static final long REFRESH_SECONDS = 1;

  private AccountLimits() {}

  /** Creates an admission control whose order of requests follows the deployment's features. */
  static LimitAdmission create(
      NodeSettings settings,
      MonotonicClock clock,
      OvershootAllowance allowance,
      LimitOwnerClient owners,
      EventLoop loop) {
    LimitAdmission.DelayedRunner reportRunner =
        (millis, action) -> loop.schedule(action, millis, TimeUnit.MILLISECONDS);
    if (!settings.features().contains(Feature.QUEUEING)) {
      return LimitAdmission.create(
          PartitionedLimiter.create(settings.name(), clock, allowance),
          owners,
          LimitRefusalLog.none(),
          reportRunner);
    }
    return LimitAdmission.create(
        PartitionedLimiter.create(settings.name(), clock, allowance, SpendingOrder::byUrgency),
        owners,
        LimitRefusalLog.create(clock),
        reportRunner);
  }

  /** Publishes the use of each limit that this daemon owns, and renews the list periodically. */
  static void publishUse(MeterRegistry registry, EventLoop loop, LimitAdmission admission) {
    MultiGauge used = MultiGauge.builder("heatherspread.limit.used").register(registry);
    loop.scheduleWithFixedDelay(
        () -> used.register(rows(admission), true),
        REFRESH_SECONDS,
        REFRESH_SECONDS,
        TimeUnit.SECONDS);
  }

  private static List<MultiGauge.Row<?>> rows(LimitAdmission admission) {
    List<MultiGauge.Row<?>> rows = new ArrayList<>();
    admission
        .usedRatios()
        .forEach(
            (account, ratio) -> rows.add(MultiGauge.Row.of(Tags.of("account", account), ratio)));
    return rows;
  }
}
