package org.heatherspread.relay.call;

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.RelayHarness;
import org.junit.jupiter.api.Test;

/**
 * Random plays of callers and faulty endpoints, checked by what the callers receive: a whole answer
 * of one execution, a prefix that is seen to be cut, or a failure of the relay. Set the system
 * properties {@code callSeeds} and {@code firstCallSeed} for other plays.
 */
class CallModelTest {
  private static final int SEEDS = Integer.getInteger("callSeeds", 2_000);
  private static final int FIRST_SEED = Integer.getInteger("firstCallSeed", 0);
  private static final int THREADS = 4;
  private static final int TIMEOUT_MILLIS = 10_000;

  /** One play. */
  private static final class Play implements ModelPlays.Play {
    private final long seed;
    private final SplittableRandom random;
    private final ModelEndpoints model;
    private final List<String> plan = new ArrayList<>();
    private ModelChecks checks;
    private int requestCount;

    private Play(long seed, ModelEndpoints model) {
      this.seed = seed;
      this.random = new SplittableRandom(seed);
      this.model = model;
    }

    @Override
    public String toString() {
      return plan.toString();
    }

    @Override
    public void run(ModelChecks playChecks) throws Exception {
      checks = playChecks;
      FakeEndpoint[] endpoints = new FakeEndpoint[1 + random.nextInt(4)];
      try (RelayHarness harness = RelayHarness.start()) {
        for (int i = 0; i < endpoints.length; i++) {
          endpoints[i] = model.start();
        }
        harness.register(endpoints);
        int callers = 1 + random.nextInt(3);
        for (int i = 0; i < callers; i++) {
          playCaller(harness);
        }
      } finally {
        for (FakeEndpoint endpoint : endpoints) {
          if (endpoint != null) {
            endpoint.close();
          }
        }
      }
    }

    /** Sends requests on one connection, some of them ahead, until it is closed. */
    private void playCaller(RelayHarness harness) throws Exception {
      int rounds = 1 + random.nextInt(3);
      try (RelayHarness.Caller caller = harness.caller()) {
        caller.socket().setSoTimeout(TIMEOUT_MILLIS);
        for (int round = 0; round < rounds; round++) {
          List<ModelRequest> sent = new ArrayList<>();
          StringBuilder text = new StringBuilder();
          int ahead = random.nextInt(3) == 0 ? 1 + random.nextInt(4) : 1;
          for (int i = 0; i < ahead; i++) {
            sent.add(ModelRequest.draw("s" + seed + "r" + requestCount++, random));
            text.append(sent.get(i).text());
          }
          int answersRead = random.nextInt(12) == 0 ? random.nextInt(ahead) : ahead;
          plan.add(sent + " answers read " + answersRead);
          boolean open = exchange(caller, text.toString(), sent, answersRead);
          if (!open || answersRead < ahead) {
            return;
          }
        }
      }
    }

    private boolean exchange(
        RelayHarness.Caller caller, String text, List<ModelRequest> sent, int answers)
        throws IOException {
      boolean open = true;
      try {
        caller.send(text);
        InputStream in = caller.socket().getInputStream();
        for (int i = 0; i < answers && open; i++) {
          CallerResponse received = CallerResponse.read(in, sent.get(i).isHead());
          if (received == null) {
            return false;
          }
          checks.check(sent.get(i), received);
          open = received.whole() && !"close".equals(received.headers().get("connection"));
        }
      } catch (SocketTimeoutException e) {
        checks.recordTimeout(sent);
        return false;
      } catch (SocketException e) {
        return false;
      }
      return open;
    }
  }

  /** Callers get parts of two answers, another status or events out of order from no fault. */
  @Test
  void callersGetOneWholeAnswerOrVisibleFailure() throws Exception {
    new ModelPlays(FIRST_SEED, SEEDS).run(THREADS, Play::new);
  }
}
