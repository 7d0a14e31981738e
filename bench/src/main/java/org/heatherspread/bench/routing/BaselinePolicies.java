package org.heatherspread.bench.routing;

import java.util.List;
import java.util.Random;
import org.heatherspread.core.routing.Dispatch;
import org.heatherspread.core.routing.EndpointView;
import org.heatherspread.core.routing.RendezvousHash;

/** Creates the baseline policies that the cost router is compared with. Stateless. */
final class BaselinePolicies {
  private BaselinePolicies() {}

  /** Cycles through the endpoints, starting at a random one. */
  static RoutingPolicy roundRobin(List<EndpointView> views, Random random) {
    int[] nextIndex = {random.nextInt(views.size())};
    return (request, nowMillis) ->
        dispatchTo(views.get(nextIndex[0]++ % views.size()), request, nowMillis);
  }

  /**
   * Selects the endpoint with the fewest requests, according to its last report and the daemon's
   * own dispatches since then. Ties are broken by a random start.
   */
  static RoutingPolicy leastConnections(List<EndpointView> views, Random random) {
    return (request, nowMillis) -> {
      int first = random.nextInt(views.size());
      EndpointView best = views.get(first);
      for (int i = 1; i < views.size(); i++) {
        EndpointView view = views.get((first + i) % views.size());
        if (view.expectedRequests(1) < best.expectedRequests(1)) {
          best = view;
        }
      }
      return dispatchTo(best, request, nowMillis);
    };
  }

  /** Selects the less loaded of two random endpoints. */
  static RoutingPolicy twoChoices(List<EndpointView> views, Random random) {
    return (request, nowMillis) -> {
      EndpointView firstChoice = views.get(random.nextInt(views.size()));
      EndpointView secondChoice = views.get(random.nextInt(views.size()));
      return dispatchTo(
          firstChoice.expectedRequests(1) <= secondChoice.expectedRequests(1)
              ? firstChoice
              : secondChoice,
          request,
          nowMillis);
    };
  }

  /**
   * Selects the endpoint that rendezvous hashing prefers for the first {@code blocks} blocks of the
   * prompt.
   */
  static RoutingPolicy.Factory rendezvous(int blocks) {
    return (views, random) -> {
      long[] seeds = new long[views.size()];
      for (int i = 0; i < seeds.length; i++) {
        seeds[i] = RendezvousHash.seed(views.get(i).profile().id());
      }
      return (request, nowMillis) -> {
        long affinityKey = request.blockHashes[Math.min(blocks, request.blockHashes.length) - 1];
        int preferred = 0;
        for (int i = 1; i < seeds.length; i++) {
          if (RendezvousHash.score(seeds[i], affinityKey)
              > RendezvousHash.score(seeds[preferred], affinityKey)) {
            preferred = i;
          }
        }
        return dispatchTo(views.get(preferred), request, nowMillis);
      };
    };
  }

  private static Dispatch dispatchTo(
      EndpointView view, SimulatedRequest request, double nowMillis) {
    return view.dispatch(request.promptTokens, 1, (long) nowMillis);
  }
}
