package org.heatherspread.relay.call;

import java.io.IOException;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.limit.LimitOwnerClient.Decision;
import org.heatherspread.relay.FixedOwnerClient.AdmissionRequest;
import org.heatherspread.relay.RelayHarness;
import org.junit.jupiter.api.Test;

/**
 * Random plays of callers that repeat ids and of endpoints that write copies of their refusals,
 * checked by what the endpoints execute: a request that is not repeatable runs once at most, and
 * not at all if its caller is told so. Set the system properties {@code refusalSeeds}, {@code
 * firstRefusalSeed} and {@code refusalThreads} for other plays. The threads mostly wait.
 */
class RefusalModelTest {
  private static final int SEEDS = Integer.getInteger("refusalSeeds", 500);
  private static final int FIRST_SEED = Integer.getInteger("firstRefusalSeed", 0);
  private static final int THREADS = Integer.getInteger("refusalThreads", 32);
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int MAX_ATTEMPTS = 3;
  private static final int MAX_OWNER_DELAY_MILLIS = 80;
  private static final int MAX_PAUSE_MILLIS = 60;

  /** Time in which a request may still run that the relay sent before its caller was answered. */
  private static final int GRACE_MILLIS = MAX_OWNER_DELAY_MILLIS + 70;

  private static final Set<Integer> FINAL_STATUSES = Set.of(200, 204, 404);

  /** One play, whose callers act at the same time. */
  private static final class Play implements ModelPlays.Play {
    private final long seed;
    private final SplittableRandom random;
    private final ModelEndpoints model;
    private final ModelPlays.Outcomes outcomes;
    private final Map<ModelRequest, CallerResponse> received = new ConcurrentHashMap<>();
    private final Queue<String> plan = new ConcurrentLinkedQueue<>();
    private final Queue<ModelRequest> sent = new ConcurrentLinkedQueue<>();
    private final Queue<Throwable> failures = new ConcurrentLinkedQueue<>();
    private final boolean repeatsIds;
    private ModelChecks checks;
    private RelayHarness harness;

    private Play(long seed, ModelEndpoints model, ModelPlays.Outcomes outcomes) {
      this.seed = seed;
      this.random = new SplittableRandom(seed);
      this.model = model;
      this.outcomes = outcomes;
      this.repeatsIds = random.nextBoolean();
    }

    @Override
    public String toString() {
      return (repeatsIds ? "repeats ids " : "") + plan;
    }

    @Override
    public void run(ModelChecks playChecks) throws Exception {
      checks = playChecks;
      harness = random.nextInt(3) > 0 ? startWithSlowOwner(random.split()) : RelayHarness.start();
      RefusingEndpoints endpoints = new RefusingEndpoints(seed, model, harness, outcomes);
      try {
        int count = 1 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
          int delay = i > 0 && random.nextBoolean() ? random.nextInt(200) : 0;
          endpoints.start("e" + i, delay, random.split());
        }
        runCallers();
        TimeUnit.MILLISECONDS.sleep(GRACE_MILLIS);
        sent.forEach(request -> checks.checkEnded(request, received.get(request)));
      } finally {
        endpoints.close();
        harness.close();
      }
      if (!failures.isEmpty()) {
        throw new AssertionError("a caller failed", failures.peek());
      }
    }

    private static RelayHarness startWithSlowOwner(SplittableRandom random) throws Exception {
      return RelayHarness.startWithSlowOwner(
          () -> random.nextInt(MAX_OWNER_DELAY_MILLIS), request -> decide(request, random));
    }

    private static Decision decide(AdmissionRequest request, SplittableRandom random) {
      boolean isAccount = request.limit().equals("acme");
      return !isAccount && random.nextInt(12) == 0
          ? Decision.decided(OptionalDouble.of(random.nextInt(100) / 1_000.0))
          : Decision.decided(OptionalDouble.empty());
    }

    private void runCallers() throws InterruptedException {
      List<Thread> callers = new ArrayList<>();
      int count = 1 + random.nextInt(4);
      for (int i = 0; i < count; i++) {
        String name = "s" + seed + 'c' + i;
        SplittableRandom draws = random.split();
        Thread caller =
            new Thread(
                () -> {
                  try {
                    playCaller(name, draws);
                  } catch (Exception | AssertionError e) {
                    failures.add(e);
                  }
                });
        caller.start();
        callers.add(caller);
      }
      for (Thread caller : callers) {
        caller.join();
      }
    }

    private void playCaller(String name, SplittableRandom draws) throws Exception {
      int requests = 2 + draws.nextInt(2);
      for (int i = 0; i < requests; i++) {
        ModelRequest request = ModelRequest.draw(name + 'r' + i, draws);
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
          boolean done = exchange(request, draws);
          if (done || draws.nextInt(5) == 0) {
            break;
          }
          TimeUnit.MILLISECONDS.sleep(draws.nextInt(MAX_PAUSE_MILLIS));
          request = repeatsIds ? request.repeat() : request.withId(name + 'r' + i + 'a' + attempt);
        }
      }
    }

    /** Sends an attempt on a new connection, and returns whether its caller wants no other one. */
    private boolean exchange(ModelRequest request, SplittableRandom draws) throws IOException {
      sent.add(request);
      plan.add(request.toString());
      try (RelayHarness.Caller caller = harness.caller()) {
        caller.socket().setSoTimeout(TIMEOUT_MILLIS);
        caller.send(request.text());
        if (draws.nextInt(15) == 0) {
          TimeUnit.MILLISECONDS.sleep(draws.nextInt(MAX_PAUSE_MILLIS));
          return false;
        }
        CallerResponse response =
            CallerResponse.read(caller.socket().getInputStream(), request.isHead());
        if (response == null) {
          return false;
        }
        received.put(request, response);
        checks.check(request, response);
        return FINAL_STATUSES.contains(response.status());
      } catch (SocketTimeoutException e) {
        checks.recordTimeout(List.of(request));
      } catch (SocketException e) {
        outcomes.count("connection reset");
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return false;
    }
  }

  /** Copies of refusals make a request neither run twice nor seem not to have run. */
  @Test
  void refusedRequestsNeverRunAndOthersRunOnce() throws Exception {
    ModelPlays plays = new ModelPlays(FIRST_SEED, SEEDS);
    plays.run(THREADS, (seed, model) -> new Play(seed, model, plays.outcomes()));
  }
}
