package org.heatherspread.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.heatherspread.core.fleet.EndpointLoad;

/**
 * Places a model request where its first token is expected soonest, counting what it costs the
 * requests that run there already.
 *
 * <p>Answers the load of many daemons that send prompts with shared parts: each shared part has a
 * home that all daemons agree on without talking, so that it is prefilled on few endpoints, and a
 * hot part spills over to other endpoints as soon as its home is busier than a prefill costs.
 * Stateless.
 */
public final class EngineChooser implements EndpointChooser {
  private static final double JITTER = 0.1;
  private static final double UNIT = 0x1p-53;

  /** What a wait at a full batch costs more than the same time of prefill. */
  private static final double FULL_BATCH_MILLIS = 150;

  /** How much of a prefill each running request is held up by. */
  private static final double SLOWDOWN_WEIGHT = 0.05;

  /** Share of a part's prefill that is saved by sending it to its home, if nobody holds it yet. */
  private static final double HOME_WEIGHT = 0.9;

  /** What it counts to read a shared part again, besides the time: it drives out other parts. */
  private static final double REREAD_WEIGHT = 2;

  private final EnginePerformance pace;

  private EngineChooser(EnginePerformance pace) {
    this.pace = pace;
  }

  /** Creates a chooser for engines of this pace. */
  public static EngineChooser create(EnginePerformance pace) {
    return new EngineChooser(pace);
  }

  @Override
  public Optional<Choice> choose(
      List<TrackedEndpoint> endpoints,
      Workload work,
      Set<String> excluded,
      long nowMillis,
      RandomGenerator random) {
    String home = home(endpoints, work, nowMillis);
    return CheapestEndpoint.find(
            endpoints,
            excluded,
            nowMillis,
            each ->
                cost(each, work, each.id().equals(home), random)
                    + each.observedWaitMillis(nowMillis))
        .map(found -> choice(found.endpoint(), work, nowMillis));
  }

  private Choice choice(TrackedEndpoint endpoint, Workload work, long nowMillis) {
    double base = expectedMillis(endpoint, work);
    return new Choice(endpoint, base, base + endpoint.observedWaitMillis(nowMillis));
  }

  /** Returns the time to the first token at an endpoint by what is known to be waiting there. */
  public double expectedMillis(TrackedEndpoint endpoint, Workload work) {
    long cached = Math.min(work.promptTokens(), endpoint.cachedTokens(work));
    EndpointLoad load = endpoint.load();
    int slots = endpoint.registration().slots();
    double waiting = pace.prefillMillis(load.promptTokens());
    double prefill = pace.prefillMillis(work.promptTokens() - cached, cached);
    double step = pace.stepMillis(Math.min(slots, load.running() + 1));
    double place = pace.slotWaitMillis(load.running(), slots);
    return (pace.firstTokenOverheadMillis() + waiting + prefill + step + place)
        * Math.max(1, endpoint.slowness());
  }

  private double cost(
      TrackedEndpoint endpoint, Workload work, boolean atHome, RandomGenerator random) {
    int cached = endpoint.cachedTokens(work);
    double uncached = Math.max(0, work.promptTokens() - cached);
    double reread = Math.max(0, sharedTokens(work) - cached);
    if (atHome) {
      uncached -= HOME_WEIGHT * reread;
      reread -= HOME_WEIGHT * reread;
    }
    int running = endpoint.load().running();
    double wait = pace.prefillMillis(endpoint.load().promptTokens());
    double prefill = Math.max(0, uncached) / pace.promptTokensPerMilli();
    double slowdown = SLOWDOWN_WEIGHT * running * prefill;
    double decode = pace.stepMillisPerRequest() * running * Math.max(1, work.answerTokens()) / 4;
    double again = REREAD_WEIGHT * reread / pace.promptTokensPerMilli();
    double cost = pace.firstTokenOverheadMillis() + wait + prefill + again + slowdown + decode;
    if (running >= endpoint.registration().slots()) {
      cost += FULL_BATCH_MILLIS * (1 + running - endpoint.registration().slots());
    }
    return cost * endpoint.slowness() * (1 + JITTER * random.nextDouble());
  }

  private static int sharedTokens(Workload work) {
    int shared = 0;
    for (int i = 0; i < work.segments().size() - 1; i++) {
      shared += work.segments().get(i).tokens();
    }
    return shared;
  }

  private static String home(List<TrackedEndpoint> endpoints, Workload work, long nowMillis) {
    long key = work.affinityKey();
    if (key == 0) {
      return null;
    }
    String home = null;
    double highest = -1;
    for (TrackedEndpoint endpoint : endpoints) {
      if (!endpoint.isUsable(nowMillis)) {
        continue;
      }
      double score = (mix(key ^ endpoint.id().hashCode() * 0x9E3779B97F4A7C15L) >>> 11) * UNIT;
      if (score > highest) {
        highest = score;
        home = endpoint.id();
      }
    }
    return home;
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
