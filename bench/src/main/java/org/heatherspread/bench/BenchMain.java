package org.heatherspread.bench;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Runs one benchmark: {@code bin/bench NAME [--seed N]}. Each benchmark prints a table, then one
 * line of JSON, and returns a non-zero exit status if a bound is broken.
 *
 * <p>Stateless.
 */
public final class BenchMain {
  private static final int USAGE_ERROR = 2;

  /** Class names by benchmark name; only the selected class is loaded. */
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

  /** Runs the benchmark named by the first argument and exits with its status. */
  public static void main(String[] args) throws Exception {
    if (args.length == 0 || !BENCHES.containsKey(args[0])) {
      System.err.println("usage: bin/bench NAME [--seed N]; NAME is one of " + BENCHES.keySet());
      System.exit(USAGE_ERROR);
    }
    Class<?> benchClass = Class.forName(BENCHES.get(args[0]));
    Method run = benchClass.getMethod("run", String[].class);
    try {
      Object status = run.invoke(null, (Object) Arrays.copyOfRange(args, 1, args.length));
      System.exit((Integer) status);
    } catch (InvocationTargetException e) {
      e.getCause().printStackTrace();
      System.exit(1);
    }
  }
}
