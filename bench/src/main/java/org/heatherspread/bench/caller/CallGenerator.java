package org.heatherspread.bench.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.heatherspread.bench.process.Deployment;
import org.heatherspread.core.routing.PrefixHashes.Message;

/**
 * Generates random calls to the services of a deployment. On average, of ten calls six are chat
 * completions, two are reads and two are writes, one with a permit and one with an idempotency key.
 * The same seed gives the same calls.
 *
 * <p>Not thread-safe.
 */
public final class CallGenerator {
  private static final int CONTEXTS = 6;
  private static final int CONTEXT_SENTENCES = 24;
  private static final int MIN_TOKENS = 16;
  private static final int MAX_TOKENS = 72;

  private final Deployment deployment;
  private final String runName;
  private final SplittableRandom random;
  private final boolean petRegistry;

  private CallGenerator(Deployment deployment, String runName, long seed) {
    this.deployment = deployment;
    this.runName = runName;
    this.random = new SplittableRandom(seed);
    this.petRegistry = deployment.plainService().equals("registry");
  }

  /** Creates a generator; the run name makes the paths of writes unique among runs. */
  public static CallGenerator create(Deployment deployment, String runName, long seed) {
    return new CallGenerator(deployment, runName, seed);
  }

  /** Generates the given number of calls, numbered from 0. */
  public List<CallSpec> generate(int count) {
    List<CallSpec> calls = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      calls.add(call(i));
    }
    return calls;
  }

  private CallSpec call(int number) {
    int kindIndex = random.nextInt(10);
    if (kindIndex < 6) {
      return chat(number);
    }
    if (kindIndex < 8) {
      return read(number);
    }
    return write(number, kindIndex == 8 ? CallSpec.Kind.WRITE_PERMIT : CallSpec.Kind.WRITE_KEY);
  }

  private CallSpec chat(int number) {
    int context = random.nextInt(CONTEXTS);
    String title = petRegistry ? "vaccination summary" : "occupancy summary";
    if (!petRegistry && random.nextInt(3) == 0) {
      title = "sign draft";
    }
    List<Message> messages =
        List.of(
            new Message("system", context(context)),
            new Message("user", title + " " + runName + "-" + number));
    int tokens = random.nextInt(MIN_TOKENS, MAX_TOKENS + 1);
    return new CallSpec(
        number, CallSpec.Kind.CHAT, deployment.modelService(), title, messages, tokens, "", "");
  }

  private String context(int number) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < CONTEXT_SENTENCES; i++) {
      text.append(
          petRegistry
              ? "Clinic %d, entry %d: rabies vaccine, lot %d, next dose in twelve months. "
                  .formatted(number, i, number * 31 + i)
              : "Car park %d, hour %d: %d bays taken, barrier open, sensor report complete. "
                  .formatted(number, i, number * 17 + i));
    }
    return text.toString();
  }

  private CallSpec read(int number) {
    String path =
        petRegistry
            ? "/tags/TR-" + random.nextInt(100_000)
            : "/lots/" + random.nextInt(40) + "/free";
    String title = petRegistry ? "tag check" : "free spaces";
    return new CallSpec(
        number, CallSpec.Kind.READ, deployment.plainService(), title, List.of(), 0, path, "");
  }

  private CallSpec write(int number, CallSpec.Kind kind) {
    String path = (petRegistry ? "/renewals/" : "/reservations/") + runName + "-" + number;
    String body =
        petRegistry
            ? "{\"tag\":\"TR-%d\",\"year\":2027}".formatted(random.nextInt(100_000))
            : "{\"lot\":%d,\"from\":\"%02d:00\"}".formatted(random.nextInt(40), random.nextInt(24));
    String title = petRegistry ? "renewal charge" : "bay reservation";
    return new CallSpec(
        number,
        kind,
        deployment.plainService(),
        title.toLowerCase(Locale.ROOT),
        List.of(),
        0,
        path,
        body);
  }
}
