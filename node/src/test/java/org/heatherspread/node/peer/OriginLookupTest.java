package org.heatherspread.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.heatherspread.core.stream.StreamOrigin;
import org.junit.jupiter.api.Test;

/** A daemon whose view of the versions may be out of date looks the origin of a stream up. */
class OriginLookupTest {
  private static final Optional<StreamOrigin> OLD = Optional.of(new StreamOrigin("s", "v1"));
  private static final Optional<StreamOrigin> NEW = Optional.of(new StreamOrigin("s", "v2"));
  private static final OriginReply ABSTENTION = new OriginReply(Optional.empty(), Optional.empty());

  private static OriginReply inferred(Optional<StreamOrigin> origin) {
    return new OriginReply(Optional.empty(), origin);
  }

  private static Optional<StreamOrigin> resultOf(OriginLookup lookup) {
    assertThat(lookup.result()).isDone();
    return lookup.result().join();
  }

  @Test
  void recordedOriginCountsAtOnce() {
    OriginLookup lookup = OriginLookup.create(OLD, 5);
    lookup.onReply(inferred(OLD));
    lookup.onReply(new OriginReply(NEW, Optional.empty()));
    assertThat(resultOf(lookup)).isEqualTo(NEW);
  }

  @Test
  void inferredOriginNeedsHalfOfTheDaemons() {
    OriginLookup lookup = OriginLookup.create(OLD, 5);
    lookup.onReply(inferred(OLD));
    lookup.onFailure();
    lookup.onReply(inferred(OLD));
    assertThat(lookup.result()).isNotDone();
    lookup.onReply(inferred(OLD));
    assertThat(resultOf(lookup)).isEqualTo(OLD);
  }

  /** The daemon is cut off with a few others, which know as little. */
  @Test
  void inferredOriginIsNotConfirmedByFew() {
    OriginLookup lookup = OriginLookup.create(OLD, 5);
    lookup.onReply(inferred(OLD));
    lookup.onReply(inferred(OLD));
    lookup.onFailure();
    lookup.onFailure();
    lookup.onFailure();
    assertThat(resultOf(lookup)).isEmpty();
  }

  /** The others see that a version has joined, and so infer nothing. */
  @Test
  void inferredOriginIsNotConfirmedByAbstentions() {
    OriginLookup lookup = OriginLookup.create(OLD, 3);
    lookup.onReply(ABSTENTION);
    lookup.onReply(ABSTENTION);
    lookup.onReply(inferred(OLD));
    assertThat(resultOf(lookup)).isEmpty();
  }

  @Test
  void contradictedOriginIsNotCertain() {
    OriginLookup lookup = OriginLookup.create(OLD, 3);
    lookup.onReply(inferred(NEW));
    lookup.onReply(inferred(OLD));
    assertThat(lookup.result()).isNotDone();
    lookup.onReply(inferred(OLD));
    assertThat(resultOf(lookup)).isEmpty();
  }

  @Test
  void onlyDaemonDecidesAlone() {
    assertThat(resultOf(OriginLookup.create(OLD, 0))).isEqualTo(OLD);
    assertThat(resultOf(OriginLookup.create(Optional.empty(), 0))).isEmpty();
  }
}
