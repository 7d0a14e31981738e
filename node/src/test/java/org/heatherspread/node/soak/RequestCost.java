package org.heatherspread.node.soak;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.heatherspread.platform.FakePlatform;

/**
 * Processor time of a daemon process from its start on, in a fleet whose daemons all get the same
 * mix of requests. Means of all daemons.
 *
 * @param ready from the start until all daemons are ready
 * @param idleSecond a second without requests after that
 * @param cold a request, among the first that each daemon serves
 * @param warm a request after those
 * @param answered number of complete successful responses
 * @param failed number of other responses and of requests without one
 */
record RequestCost(
    ThreadCosts ready,
    ThreadCosts idleSecond,
    ThreadCosts cold,
    ThreadCosts warm,
    long answered,
    long failed) {
  private static final int DOMAINS = 5;
  private static final int CALLERS_PER_DAEMON = 6;
  private static final int COLD_REQUESTS = 50;
  private static final int POLL_MILLIS = 5;
  private static final long SEED = 1;

  /**
   * Starts daemons at the same time, lets them idle, and sends them requests.
   *
   * @param command starts a daemon
   * @param perSecond requests to each daemon
   * @param warmTime time for which requests are sent after the first ones
   * @param folder for settings and logs
   */
  static RequestCost measure(
      List<String> command,
      int daemonCount,
      int endpointCount,
      Duration idleTime,
      double perSecond,
      Duration warmTime,
      Path folder)
      throws Exception {
    List<SoakDaemon> daemons = new ArrayList<>();
    try (FakePlatform platform = FakePlatform.start();
        MixedLoad load = MixedLoad.start(platform, endpointCount)) {
      platform.write(
          FakePlatform.OPERATORS, FakePlatform.CONFIGURATION_KEY, MixedLoad.CONFIGURATION);
      try {
        StartCost.startDaemons(command, daemonCount, DOMAINS, folder, platform, daemons);
        final ThreadCosts ready = mean(daemons);
        TimeUnit.MILLISECONDS.sleep(idleTime.toMillis());
        final ThreadCosts idle = mean(daemons);
        SplittableRandom random = new SplittableRandom(SEED);
        for (SoakDaemon daemon : daemons) {
          load.startCallers(daemon.callers(), CALLERS_PER_DAEMON, perSecond, random.split());
        }
        long coldRequests = (long) COLD_REQUESTS * daemonCount;
        while (load.answered() + load.failed() < coldRequests) {
          TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        final ThreadCosts cold = mean(daemons);
        final double firstPerDaemon = (double) (load.answered() + load.failed()) / daemonCount;
        TimeUnit.MILLISECONDS.sleep(warmTime.toMillis());
        final ThreadCosts warm = mean(daemons);
        final double allPerDaemon = (double) (load.answered() + load.failed()) / daemonCount;
        return new RequestCost(
            ready,
            idle.minus(ready).times(1.0 / idleTime.toSeconds()),
            cold.minus(idle).times(1 / firstPerDaemon),
            warm.minus(cold).times(1 / (allPerDaemon - firstPerDaemon)),
            load.answered(),
            load.failed());
      } finally {
        for (SoakDaemon daemon : daemons) {
          daemon.close();
        }
      }
    }
  }

  private static ThreadCosts mean(List<SoakDaemon> daemons) throws Exception {
    ThreadCosts sum = ThreadCosts.ZERO;
    for (SoakDaemon daemon : daemons) {
      sum = sum.plus(ThreadCosts.of(daemon.process()));
    }
    return sum.times(1.0 / daemons.size());
  }
}
