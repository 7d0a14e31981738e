package org.heatherspread.bench.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Makes the requests of a deployment: client accounts of unequal size, prompts that share long
 * prefixes in three levels, sessions of several turns, and one sharp peak. Immutable.
 *
 * @param name deployment
 * @param accounts share of each client account
 * @param headerBlocks blocks that all prompts of a header share
 * @param headers number of headers; 1 where all prompts begin alike
 * @param topicBlocks blocks of one topic below a header
 * @param topics topics below each header
 * @param skew exponent of the Zipf law over topics
 * @param recordBlocks blocks of one session's own context
 * @param turns mean turns of a session
 * @param pauseMillis mean pause between turns
 * @param freshBlocks blocks that each turn adds
 * @param answerTokens mean answer
 * @param hotShare share of requests about three hot topics during the peak
 * @param peakFactor rate during the peak over the rate outside
 */
record Workload(
    String name,
    double[] accounts,
    int headerBlocks,
    int headers,
    int topicBlocks,
    int topics,
    double skew,
    int recordBlocks,
    double turns,
    double pauseMillis,
    int freshBlocks,
    int answerTokens,
    double hotShare,
    double peakFactor) {
  private static final double PEAK_BEGIN = 0.4;
  private static final double PEAK_END = 0.6;
  private static final int HOT_TOPICS = 3;
  private static final double[] ACCOUNTS = {0.42, 0.30, 0.15, 0.08, 0.05};

  /** Members' sessions about vaccination summaries; each account has its own long instructions. */
  static Workload patikoop() {
    return new Workload("patikoop", ACCOUNTS, 24, 5, 16, 8, 0.8, 20, 3, 15_000, 2, 120, 0.3, 2.0);
  }

  /** Occupancy summaries and sign drafts over long contexts that many requests share. */
  static Workload oberland() {
    return new Workload("oberland", ACCOUNTS, 10, 1, 42, 60, 0.9, 8, 1.3, 20_000, 2, 100, 0.5, 2.0);
  }

  /** Makes the requests of one run, in order of arrival. */
  List<SimRequest> requests(long seed, double durationMillis, double meanPerSecond) {
    SplittableRandom random = new SplittableRandom(seed);
    List<SimRequest> result = new ArrayList<>();
    double base = meanPerSecond / (1 + (PEAK_END - PEAK_BEGIN) * (peakFactor - 1)) / turns;
    double now = 0;
    long session = 1;
    while (now < durationMillis) {
      boolean peak = now > PEAK_BEGIN * durationMillis && now < PEAK_END * durationMillis;
      double rate = base * (peak ? peakFactor : 1);
      now += -Math.log(1 - random.nextDouble()) * 1_000 / rate;
      addSession(result, random, seed * 1_000_003 + session++, now, durationMillis, peak);
    }
    result.sort((a, b) -> Double.compare(a.arrivalMillis, b.arrivalMillis));
    return result;
  }

  private void addSession(
      List<SimRequest> result,
      SplittableRandom random,
      long session,
      double start,
      double durationMillis,
      boolean peak) {
    int account = pick(accounts, random.nextDouble());
    int header = headers == 1 ? 0 : account;
    int topic = peak && random.nextDouble() < hotShare ? random.nextInt(HOT_TOPICS) : zipf(random);
    double at = start;
    int fresh = 0;
    do {
      fresh += 1 + random.nextInt(2 * freshBlocks - 1);
      if (at >= durationMillis) {
        return;
      }
      int answer = (int) (answerTokens * (0.5 + random.nextDouble()));
      long[] hashes = hashes(header, topic, session, fresh);
      int tokens = hashes.length * 64 + 1 + random.nextInt(63);
      result.add(new SimRequest(at, account, hashes, tokens, answer));
      at += pauseMillis * (0.5 + random.nextDouble());
    } while (random.nextDouble() < 1 - 1 / turns);
  }

  private long[] hashes(int header, int topic, long session, int fresh) {
    long[] hashes = new long[headerBlocks + topicBlocks + recordBlocks + fresh];
    long previous = 17;
    for (int i = 0; i < hashes.length; i++) {
      long content = header;
      if (i >= headerBlocks + topicBlocks) {
        content = 1_000_000 + session;
      } else if (i >= headerBlocks) {
        content = 1_000 + topic;
      }
      previous = mix(previous * 31 + content);
      hashes[i] = previous;
    }
    return hashes;
  }

  private int zipf(SplittableRandom random) {
    double total = 0;
    for (int i = 1; i <= topics; i++) {
      total += Math.pow(i, -skew);
    }
    double left = random.nextDouble() * total;
    for (int i = 1; i < topics; i++) {
      left -= Math.pow(i, -skew);
      if (left < 0) {
        return i - 1;
      }
    }
    return topics - 1;
  }

  private static int pick(double[] shares, double value) {
    double left = value;
    for (int i = 0; i < shares.length - 1; i++) {
      left -= shares[i];
      if (left < 0) {
        return i;
      }
    }
    return shares.length - 1;
  }

  private static long mix(long value) {
    return new SplittableRandom(value).nextLong();
  }
}
