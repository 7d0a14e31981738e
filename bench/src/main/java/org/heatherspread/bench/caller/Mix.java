package org.heatherspread.bench.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.heatherspread.bench.process.Deployment;
import org.heatherspread.core.routing.PrefixHashes.Message;

/**
 * Makes the mix of calls of a deployment: of ten calls six are chat completions, two are reads and
 * two are writes, one with a permit and one with an idempotency key.
 *
 * <p>Not safe for use by several threads. The same seed gives the same mix.
 */
public final class Mix {
  private static final int CONTEXTS = 6;
  private static final int CONTEXT_SENTENCES = 24;
  private static final int MIN_TOKENS = 16;
  private static final int MAX_TOKENS = 72;

  private final Deployment deployment;
  private final String run;
  private final SplittableRandom random;
  private final boolean registry;

  private Mix(Deployment deployment, String run, long seed) {
    this.deployment = deployment;
    this.run = run;
    this.random = new SplittableRandom(seed);
    this.registry = deployment.plain().equals("registry");
  }

  /** Creates a mix; the run's name keeps the writes of two runs apart. */
  public static Mix create(Deployment deployment, String run, long seed) {
    return new Mix(deployment, run, seed);
  }

  /** Returns the next calls. */
  public List<CallPlan> calls(int count) {
    List<CallPlan> calls = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      calls.add(call(i));
    }
    return calls;
  }

  private CallPlan call(int number) {
    int pick = random.nextInt(10);
    if (pick < 6) {
      return chat(number);
    }
    if (pick < 8) {
      return read(number);
    }
    return write(number, pick == 8 ? CallPlan.Kind.WRITE_PERMIT : CallPlan.Kind.WRITE_KEY);
  }

  private CallPlan chat(int number) {
    int context = random.nextInt(CONTEXTS);
    String title = registry ? "vaccination summary" : "occupancy summary";
    if (!registry && random.nextInt(3) == 0) {
      title = "sign draft";
    }
    List<Message> messages =
        List.of(
            new Message("system", context(context)),
            new Message("user", title + " " + run + "-" + number));
    int tokens = random.nextInt(MIN_TOKENS, MAX_TOKENS + 1);
    return new CallPlan(
        number, CallPlan.Kind.CHAT, deployment.model(), title, messages, tokens, "", "");
  }

  private String context(int number) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < CONTEXT_SENTENCES; i++) {
      text.append(
          registry
              ? "Clinic %d, entry %d: rabies vaccine, lot %d, next dose in twelve months. "
                  .formatted(number, i, number * 31 + i)
              : "Car park %d, hour %d: %d bays taken, barrier open, sensor report complete. "
                  .formatted(number, i, number * 17 + i));
    }
    return text.toString();
  }

  private CallPlan read(int number) {
    String path =
        registry ? "/tags/TR-" + random.nextInt(100_000) : "/lots/" + random.nextInt(40) + "/free";
    String title = registry ? "tag check" : "free spaces";
    return new CallPlan(
        number, CallPlan.Kind.READ, deployment.plain(), title, List.of(), 0, path, "");
  }

  private CallPlan write(int number, CallPlan.Kind kind) {
    String path = (registry ? "/renewals/" : "/reservations/") + run + "-" + number;
    String body =
        registry
            ? "{\"tag\":\"TR-%d\",\"year\":2027}".formatted(random.nextInt(100_000))
            : "{\"lot\":%d,\"from\":\"%02d:00\"}".formatted(random.nextInt(40), random.nextInt(24));
    String title = registry ? "renewal charge" : "bay reservation";
    return new CallPlan(
        number, kind, deployment.plain(), title.toLowerCase(Locale.ROOT), List.of(), 0, path, body);
  }
}
