package org.heatherspread.node.soak;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.heatherspread.platform.FakePlatform;

/**
 * Processor time of a daemon process in a fleet without requests. It is the time of the process and
 * not of the clock, so other work on the machine changes it little.
 *
 * @param ready mean from the start until all daemons are ready
 * @param idle mean of the time after that
 */
record StartCost(Duration ready, Duration idle) {
  private static final int DOMAINS = 4;
  private static final int ENDPOINT_PORT = 9;
  private static final long HEARTBEAT_MILLIS = 1_200;

  /** Returns the processor time of a start and of the idle time after it. */
  Duration total() {
    return ready.plus(idle);
  }

  /**
   * Starts daemons at the same time and measures them.
   *
   * @param command starts a daemon
   * @param endpointCount number of endpoints that write their registrations again and again
   * @param idleTime time for which the daemons are measured after all are ready
   * @param folder for settings and logs
   */
  static StartCost measure(
      List<String> command, int daemonCount, int endpointCount, Duration idleTime, Path folder)
      throws Exception {
    List<SoakDaemon> daemons = new ArrayList<>();
    try (FakePlatform platform = FakePlatform.start()) {
      platform.write(
          FakePlatform.OPERATORS, FakePlatform.CONFIGURATION_KEY, ProcessFleet.CONFIGURATION);
      Thread heartbeats =
          DaemonThreads.start("heartbeats", () -> writeRegistrations(platform, endpointCount));
      try {
        startDaemons(command, daemonCount, DOMAINS, folder, platform, daemons);
        Duration ready = mean(daemons);
        TimeUnit.MILLISECONDS.sleep(idleTime.toMillis());
        return new StartCost(ready, mean(daemons).minus(ready));
      } finally {
        heartbeats.interrupt();
        for (SoakDaemon daemon : daemons) {
          daemon.close();
        }
      }
    }
  }

  /**
   * Starts daemons at the same time and waits until all are ready.
   *
   * @param command starts a daemon
   * @param domains number of failure domains
   * @param folder for settings and logs
   * @param started gets each daemon before it starts
   */
  static void startDaemons(
      List<String> command,
      int count,
      int domains,
      Path folder,
      FakePlatform platform,
      List<SoakDaemon> started)
      throws Exception {
    for (int i = 0; i < count; i++) {
      SoakDaemon daemon =
          new SoakDaemon(
              "daemon-" + i,
              "z" + i % domains,
              folder,
              platform.address().port(),
              ProcessFleet.GRACE_MILLIS);
      started.add(daemon);
      daemon.start(command);
    }
    for (SoakDaemon daemon : started) {
      daemon.awaitReady();
    }
  }

  private static Duration mean(List<SoakDaemon> daemons) {
    Duration sum = Duration.ZERO;
    for (SoakDaemon daemon : daemons) {
      sum = sum.plus(daemon.processorTime());
    }
    return sum.dividedBy(daemons.size());
  }

  private static void writeRegistrations(FakePlatform platform, int count) {
    try {
      while (true) {
        for (int i = 0; i < count; i++) {
          platform.registerEndpoint("model-" + i, "model", ENDPOINT_PORT, false);
          TimeUnit.MILLISECONDS.sleep(Math.max(1, HEARTBEAT_MILLIS / count));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
