package org.heatherspread.bench.routing;

import java.util.List;
import java.util.Random;
import org.heatherspread.core.routing.Dispatch;
import org.heatherspread.core.routing.EndpointView;
import org.heatherspread.core.routing.RendezvousHash;

/** The baselines that the cost router is compared with. Stateless factories. */
final class BaselinePolicies {
  private BaselinePolicies() {}

  /** Each daemon goes round its endpoints from a random start. */
  static Policy roundRobin(List<EndpointView> views, Random random) {
    int[] next = {random.nextInt(views.size())};
    return (request, now) -> send(views.get(next[0]++ % views.size()), request, now);
  }

  /** The fewest requests by the last report and the daemon's own dispatches since. */
  static Policy leastConnections(List<EndpointView> views, Random random) {
    return (request, now) -> {
      int first = random.nextInt(views.size());
      EndpointView best = views.get(first);
      for (int i = 1; i < views.size(); i++) {
        EndpointView view = views.get((first + i) % views.size());
        if (view.expectedRequests(1) < best.expectedRequests(1)) {
          best = view;
        }
      }
      return send(best, request, now);
    };
  }

  /** The less loaded of two random endpoints. */
  static Policy twoChoices(List<EndpointView> views, Random random) {
    return (request, now) -> {
      EndpointView one = views.get(random.nextInt(views.size()));
      EndpointView two = views.get(random.nextInt(views.size()));
      return send(one.expectedRequests(1) <= two.expectedRequests(1) ? one : two, request, now);
    };
  }

  /** The rendezvous home of the first blocks of the prompt. */
  static Policy.Factory rendezvous(int blocks) {
    return (views, random) -> {
      long[] seeds = new long[views.size()];
      for (int i = 0; i < seeds.length; i++) {
        seeds[i] = RendezvousHash.seed(views.get(i).profile().id());
      }
      return (request, now) -> {
        long key = request.hashes[Math.min(blocks, request.hashes.length) - 1];
        int home = 0;
        for (int i = 1; i < seeds.length; i++) {
          if (RendezvousHash.score(seeds[i], key) > RendezvousHash.score(seeds[home], key)) {
            home = i;
          }
        }
        return send(views.get(home), request, now);
      };
    };
  }

  private static Dispatch send(EndpointView view, SimRequest request, double now) {
    return view.dispatch(request.promptTokens, 1, (long) now);
  }
}
