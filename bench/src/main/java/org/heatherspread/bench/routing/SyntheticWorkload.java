package org.heatherspread.bench.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates the requests of a deployment: client accounts of unequal size, prompts that share long
 * prefixes on three levels (header, topic, session), sessions of several turns, and one load peak.
 * Immutable; the array must not be modified.
 *
 * @param name name of the deployment
 * @param accountShares share of the sessions of each client account; the shares add up to 1
 * @param headerBlocks number of blocks that all prompts with the same header share
 * @param headerCount number of headers: 1 if all prompts start alike, otherwise one for each
 *     account
 * @param topicBlocks number of blocks that all prompts with the same header and topic share
 * @param topicsPerHeader number of topics for each header
 * @param zipfExponent exponent of the Zipf distribution of topics
 * @param sessionBlocks number of blocks of context specific to a session
 * @param meanTurns mean number of turns in a session
 * @param meanPauseMillis mean pause between turns
 * @param meanBlocksPerTurn mean number of blocks that each turn adds
 * @param meanAnswerTokens mean length of an answer
 * @param hotTopicShare share of sessions during the peak that choose among three hot topics only
 * @param peakRateFactor ratio of the session rate during the peak to the rate outside it
 */
record SyntheticWorkload(
    String name,
    double[] accountShares,
    int headerBlocks,
    int headerCount,
    int topicBlocks,
    int topicsPerHeader,
    double zipfExponent,
    int sessionBlocks,
    double meanTurns,
    double meanPauseMillis,
    int meanBlocksPerTurn,
    int meanAnswerTokens,
    double hotTopicShare,
    double peakRateFactor) {
  private static final double PEAK_START = 0.4;
  private static final double PEAK_END = 0.6;
  private static final int HOT_TOPICS = 3;
  private static final double[] ACCOUNT_SHARES = {0.42, 0.30, 0.15, 0.08, 0.05};

  /**
   * Returns a workload of member sessions about vaccination summaries, in which each account has
   * its own long instructions.
   */
  static SyntheticWorkload patikoop() {
    return new SyntheticWorkload(
        "patikoop", ACCOUNT_SHARES, 24, 5, 16, 8, 0.8, 20, 3, 15_000, 2, 120, 0.3, 2.0);
  }

  /**
   * Returns a workload of occupancy summaries and sign drafts on long contexts that many requests
   * share.
   */
  static SyntheticWorkload oberland() {
    return new SyntheticWorkload(
        "oberland", ACCOUNT_SHARES, 10, 1, 42, 60, 0.9, 8, 1.3, 20_000, 2, 100, 0.5, 2.0);
  }

  /** Generates the requests of one run, ordered by arrival. */
  List<SimulatedRequest> generateRequests(long seed, double durationMillis, double meanPerSecond) {
    SplittableRandom random = new SplittableRandom(seed);
    List<SimulatedRequest> result = new ArrayList<>();
    double baseSessionsPerSecond =
        meanPerSecond / (1 + (PEAK_END - PEAK_START) * (peakRateFactor - 1)) / meanTurns;
    double nowMillis = 0;
    long sessionId = 1;
    while (nowMillis < durationMillis) {
      boolean inPeak =
          nowMillis > PEAK_START * durationMillis && nowMillis < PEAK_END * durationMillis;
      double sessionsPerSecond = baseSessionsPerSecond * (inPeak ? peakRateFactor : 1);
      nowMillis += -Math.log(1 - random.nextDouble()) * 1_000 / sessionsPerSecond;
      addSession(result, random, seed * 1_000_003 + sessionId++, nowMillis, durationMillis, inPeak);
    }
    result.sort((a, b) -> Double.compare(a.arrivalMillis, b.arrivalMillis));
    return result;
  }

  private void addSession(
      List<SimulatedRequest> result,
      SplittableRandom random,
      long sessionId,
      double startMillis,
      double durationMillis,
      boolean inPeak) {
    int account = pickIndex(accountShares, random.nextDouble());
    int header = headerCount == 1 ? 0 : account;
    int topic =
        inPeak && random.nextDouble() < hotTopicShare
            ? random.nextInt(HOT_TOPICS)
            : pickTopic(random);
    double arrivalMillis = startMillis;
    int turnBlocks = 0;
    do {
      turnBlocks += 1 + random.nextInt(2 * meanBlocksPerTurn - 1);
      if (arrivalMillis >= durationMillis) {
        return;
      }
      int answerTokens = (int) (meanAnswerTokens * (0.5 + random.nextDouble()));
      long[] blockHashes = blockHashes(header, topic, sessionId, turnBlocks);
      int promptTokens = blockHashes.length * 64 + 1 + random.nextInt(63);
      result.add(
          new SimulatedRequest(arrivalMillis, account, blockHashes, promptTokens, answerTokens));
      arrivalMillis += meanPauseMillis * (0.5 + random.nextDouble());
    } while (random.nextDouble() < 1 - 1 / meanTurns);
  }

  private long[] blockHashes(int header, int topic, long sessionId, int turnBlocks) {
    long[] blockHashes = new long[headerBlocks + topicBlocks + sessionBlocks + turnBlocks];
    long previousHash = 17;
    for (int i = 0; i < blockHashes.length; i++) {
      long contentId = header;
      if (i >= headerBlocks + topicBlocks) {
        contentId = 1_000_000 + sessionId;
      } else if (i >= headerBlocks) {
        contentId = 1_000 + topic;
      }
      previousHash = mix(previousHash * 31 + contentId);
      blockHashes[i] = previousHash;
    }
    return blockHashes;
  }

  private int pickTopic(SplittableRandom random) {
    double totalWeight = 0;
    for (int i = 1; i <= topicsPerHeader; i++) {
      totalWeight += Math.pow(i, -zipfExponent);
    }
    double remaining = random.nextDouble() * totalWeight;
    for (int i = 1; i < topicsPerHeader; i++) {
      remaining -= Math.pow(i, -zipfExponent);
      if (remaining < 0) {
        return i - 1;
      }
    }
    return topicsPerHeader - 1;
  }

  private static int pickIndex(double[] shares, double point) {
    double remaining = point;
    for (int i = 0; i < shares.length - 1; i++) {
      remaining -= shares[i];
      if (remaining < 0) {
        return i;
      }
    }
    return shares.length - 1;
  }

  private static long mix(long value) {
    return new SplittableRandom(value).nextLong();
  }
}
