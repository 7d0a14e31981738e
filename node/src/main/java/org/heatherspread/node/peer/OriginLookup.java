package org.heatherspread.node.peer;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.stream.StreamOrigin;

/**
 * Decides on the origin of a stream from the replies of other daemons.
 *
 * <p>An origin that was recorded is certain. One that was inferred rests on a view of the endpoints
 * that is out of date if its daemon was suspended or cut off, so it counts only if half of the
 * daemons that were asked infer the same, which they do after the request arrived; those that were
 * cut off as well reach only each other. Daemons that see several versions infer nothing. Confined
 * to the event loop.
 */
final class OriginLookup {
  private final Optional<StreamOrigin> inferred;
  private final int neededConfirmations;
  private final CompletableFuture<Optional<StreamOrigin>> result = new CompletableFuture<>();
  private int pendingReplies;
  private int confirmations;

  private OriginLookup(Optional<StreamOrigin> inferred, int askedDaemons) {
    this.inferred = inferred;
    this.neededConfirmations = (askedDaemons + 1) / 2;
    this.pendingReplies = askedDaemons;
  }

  /**
   * Starts a lookup.
   *
   * @param inferred what this daemon infers
   * @param askedDaemons number of daemons that were asked; each replies or fails once
   */
  static OriginLookup create(Optional<StreamOrigin> inferred, int askedDaemons) {
    OriginLookup lookup = new OriginLookup(inferred, askedDaemons);
    lookup.completeIfDecided();
    return lookup;
  }

  /** Returns the origin, empty if it is not certain; never fails. */
  CompletableFuture<Optional<StreamOrigin>> result() {
    return result;
  }

  void onReply(OriginReply reply) {
    pendingReplies--;
    if (reply.known().isPresent()) {
      result.complete(reply.known());
      return;
    }
    boolean contradicts =
        inferred.isPresent() && reply.inferred().isPresent() && !reply.inferred().equals(inferred);
    if (contradicts) {
      confirmations = Integer.MIN_VALUE;
    } else if (reply.inferred().isPresent()) {
      confirmations++;
    }
    completeIfDecided();
  }

  void onFailure() {
    pendingReplies--;
    completeIfDecided();
  }

  private void completeIfDecided() {
    if (inferred.isPresent() && confirmations >= neededConfirmations) {
      result.complete(inferred);
    } else if (pendingReplies == 0) {
      result.complete(Optional.empty());
    }
  }
}
