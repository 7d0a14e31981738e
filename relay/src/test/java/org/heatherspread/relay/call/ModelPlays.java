package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.LoggerFactory;

/** Runs the plays of a model, each with a seed of its own, on several threads. Thread-safe. */
final class ModelPlays {
  private static final int MAX_REPORTED = 10;

  private final int firstSeed;
  private final int count;
  private final Outcomes outcomes = new Outcomes();
  private final Queue<String> failures = new ConcurrentLinkedQueue<>();

  ModelPlays(int firstSeed, int count) {
    this.firstSeed = firstSeed;
    this.count = count;
  }

  /** A play of a model. */
  interface Play {
    /** Runs the play, whose {@link #toString} tells what it did. */
    void run(ModelChecks checks) throws Exception;
  }

  /** Creates the play of a seed. */
  interface PlayFactory {
    /** Returns a play with the given endpoints. */
    Play create(long seed, ModelEndpoints model);
  }

  /** How often each outcome was seen in all plays. Thread-safe. */
  static final class Outcomes {
    private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();

    void count(String outcome) {
      counts.computeIfAbsent(outcome, key -> new AtomicInteger()).incrementAndGet();
    }

    @Override
    public String toString() {
      return counts.toString();
    }
  }

  /** Returns the outcomes of all plays. */
  Outcomes outcomes() {
    return outcomes;
  }

  /**
   * Runs all plays, without the lines of each request, whose output would take most of the time.
   */
  void run(int threadCount, PlayFactory factory) throws InterruptedException {
    setLogLevel(Level.WARN);
    try {
      AtomicLong nextSeed = new AtomicLong(firstSeed);
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < threadCount; i++) {
        Thread thread = new Thread(() -> playSeeds(nextSeed, factory));
        thread.start();
        threads.add(thread);
      }
      for (Thread thread : threads) {
        thread.join();
      }
    } finally {
      setLogLevel(null);
    }
    System.out.println(count + " plays, " + failures.size() + " failed, outcomes " + outcomes);
    assertThat(failures.stream().limit(MAX_REPORTED))
        .as("%s of %s plays", failures.size(), count)
        .isEmpty();
  }

  private static void setLogLevel(Level level) {
    ((Logger) LoggerFactory.getLogger("org.heatherspread.relay")).setLevel(level);
  }

  private void playSeeds(AtomicLong nextSeed, PlayFactory factory) {
    long end = (long) firstSeed + count;
    for (long seed = nextSeed.getAndIncrement(); seed < end; seed = nextSeed.getAndIncrement()) {
      playSeed(seed, factory);
    }
  }

  private void playSeed(long seed, PlayFactory factory) {
    ModelEndpoints model = new ModelEndpoints(seed);
    ModelChecks checks = new ModelChecks(model, outcomes);
    Play play = factory.create(seed, model);
    String failure = "";
    try {
      play.run(checks);
    } catch (Exception | AssertionError e) {
      failure = "play failed: " + e;
    }
    if (!failure.isEmpty() || !checks.violations().isEmpty()) {
      failures.add("seed " + seed + ' ' + failure + checks.violations() + "\nplan " + play);
    }
  }
}
