package org.heatherspread.bench;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * The one entry of all measurements: {@code bin/bench NAME [--seed N]}. Each prints a readable
 * table, ends with one line of JSON, and exits non-zero when a bound is broken.
 *
 * <p>Stateless.
 */
public final class BenchMain {
  private static final int USAGE_ERROR = 2;

  /** Measurements by name; their classes are loaded only when asked for. */
  private static final Map<String, String> BENCHES =
      new TreeMap<>(
          Map.of(
              "wave", "org.heatherspread.bench.wave.WaveBench",
              "membership", "org.heatherspread.bench.membership.MembershipBench",
              "routing", "org.heatherspread.bench.routing.RoutingBench",
              "relay", "org.heatherspread.bench.relay.RelayBench",
              "jmh", "org.heatherspread.bench.jmh.JmhBench",
              "capacity", "org.heatherspread.bench.capacity.CapacityBench"));

  private BenchMain() {}

  /** Runs the measurement that the first argument names. */
  public static void main(String[] args) throws Exception {
    if (args.length == 0 || !BENCHES.containsKey(args[0])) {
      System.err.println("usage: bin/bench NAME [--seed N]; NAME is one of " + BENCHES.keySet());
      System.exit(USAGE_ERROR);
    }
    Class<?> bench = Class.forName(BENCHES.get(args[0]));
    Method run = bench.getMethod("run", String[].class);
    try {
      Object status = run.invoke(null, (Object) Arrays.copyOfRange(args, 1, args.length));
      System.exit((Integer) status);
    } catch (InvocationTargetException e) {
      e.getCause().printStackTrace();
      System.exit(1);
    }
  }
}
