package org.heatherspread.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.fleet.FactLog.Batch;
import org.heatherspread.core.fleet.FactLog.Fact;
import org.heatherspread.core.fleet.FactLog.Position;
import org.heatherspread.core.fleet.RecentDemand;
import org.heatherspread.core.fleet.RecentOutcomes;
import org.heatherspread.core.limit.EndpointLimit;
import org.heatherspread.core.limit.LimitObservation;
import org.heatherspread.core.limit.LimitOwnerClient.Decision;
import org.heatherspread.core.limit.LimitRequest;
import org.heatherspread.core.stream.StreamOrigin;
import org.junit.jupiter.api.Test;

class PeerFormatTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void readsWhatItWrites() {
    var account =
        new PeerFormat.AdmissionRequest("acme", Optional.empty(), LimitRequest.of(750), 90);
    var endpoint =
        PeerFormat.AdmissionRequest.of(
            new EndpointLimit("e-1", 1_700_000_000_000L, 1.5), LimitRequest.of(1), 0);
    for (PeerFormat.AdmissionRequest admission : List.of(account, endpoint)) {
      assertThat(PeerFormat.readAdmissionRequest(PeerFormat.writeAdmissionRequest(admission)))
          .isEqualTo(admission);
    }
    var update =
        new MemberUpdate(
            "d-1",
            Map.of("e-1", new EndpointLoad(2, 900)),
            new Batch(
                new Position("p-1", 4),
                List.of(new Fact("d-1", "p-1", 4, "kind", "[\"content\"]", 20))),
            new Position("p-2", 9));
    assertThat(PeerFormat.readMemberUpdate(PeerFormat.writeMemberUpdate(update))).isEqualTo(update);
    var loads = new ExchangedLoads(update.loads(), Set.of("d-3"), update.facts());
    assertThat(PeerFormat.readLoads(PeerFormat.writeLoads(loads))).isEqualTo(loads);
    assertThat(PeerFormat.readPosition(PeerFormat.writePosition(update.received())))
        .isEqualTo(update.received());
    for (Optional<StreamOrigin> origin :
        List.of(Optional.of(new StreamOrigin("s", "v1")), Optional.<StreamOrigin>empty())) {
      Optional<StreamOrigin> other = Optional.of(new StreamOrigin("s", "v2"));
      var reply = new OriginReply(origin, origin.isPresent() ? Optional.empty() : other);
      var query = new PeerFormat.OriginQuery("a", "s", 1_000);
      assertThat(PeerFormat.readOriginQuery(PeerFormat.writeOriginQuery(query))).isEqualTo(query);
      assertThat(PeerFormat.readOriginReply(PeerFormat.writeOriginReply(query, reply)))
          .isEqualTo(reply);
      var earlier = new PeerFormat.OriginQuery("a", null, 0);
      assertThat(PeerFormat.readOriginReply(PeerFormat.writeOriginReply(earlier, reply)))
          .isEqualTo(new OriginReply(origin, Optional.empty()));
    }
    var release = new PeerFormat.ReleaseRequest("acme", "d-2");
    assertThat(PeerFormat.readReleaseRequest(PeerFormat.writeReleaseRequest(release)))
        .isEqualTo(release);
    for (Optional<String> holder : List.of(Optional.of("d-3"), Optional.<String>empty())) {
      assertThat(PeerFormat.readHolder(PeerFormat.writeHolder(holder))).isEqualTo(holder);
    }
  }

  /** Daemons of earlier versions send limits and evidence directly. */
  @Test
  void readsObservationsOfEarlierVersions() {
    String limits =
        "{\"daemon\":\"d-1\",\"observations\":"
            + "[{\"endpoint\":\"e-1\",\"startedAtMillis\":7,\"ratePerSecond\":1.5,"
            + "\"ageMillis\":20}]}";
    assertThat(PeerFormat.readObservations(bytes(limits)))
        .isEqualTo(
            new PeerFormat.LimitObservations(
                "d-1", List.of(new LimitObservation("e-1", 7, 1.5, 20))));
    assertThat(PeerFormat.readCrashEvidence(bytes("[]"))).isEmpty();
  }

  /** Daemons of earlier versions exchange no facts. */
  @Test
  void readsUpdatesOfEarlierVersions() {
    Batch none = new Batch(Position.START, List.of());
    assertThat(PeerFormat.readMemberUpdate(bytes("{\"daemon\":\"d-1\",\"loads\":{}}")))
        .isEqualTo(new MemberUpdate("d-1", Map.of(), none, Position.START));
    assertThat(PeerFormat.readLoads(bytes("{\"loads\":{}}")))
        .isEqualTo(new ExchangedLoads(Map.of(), Set.of(), none));
    assertThat(PeerFormat.readPosition(bytes(""))).isEqualTo(Position.START);
  }

  /** Daemons of earlier versions report nothing that they admitted without the owner. */
  @Test
  void readsAdmissionRequestsOfEarlierVersions() {
    assertThat(PeerFormat.readAdmissionRequest(bytes("{\"account\":\"acme\",\"amount\":750}")))
        .isEqualTo(
            new PeerFormat.AdmissionRequest("acme", Optional.empty(), LimitRequest.of(750), 0));
  }

  /**
   * Owners of earlier versions read these fields, and daemons of earlier versions send no others.
   */
  @Test
  void requestsWithoutUrgencyAreThoseOfEarlierVersions() {
    var request =
        new PeerFormat.AdmissionRequest("acme", Optional.empty(), LimitRequest.of(750), 9);
    assertThat(new String(PeerFormat.writeAdmissionRequest(request), StandardCharsets.UTF_8))
        .isEqualTo("{\"amount\":750.0,\"unreported\":9.0,\"account\":\"acme\"}");
  }

  /** The urgency is added to the fields of earlier versions and changes none of them. */
  @Test
  void requestsWithUrgencyKeepTheFieldsOfEarlierVersions() {
    var limitRequest = new LimitRequest(750, OptionalInt.of(0), 0.5);
    var request = new PeerFormat.AdmissionRequest("acme", Optional.empty(), limitRequest, 9);
    byte[] written = PeerFormat.writeAdmissionRequest(request);
    assertThat(new String(written, StandardCharsets.UTF_8))
        .isEqualTo(
            "{\"amount\":750.0,\"unreported\":9.0,\"urgency\":0,\"max-wait\":0.5,"
                + "\"account\":\"acme\"}");
    assertThat(PeerFormat.readAdmissionRequest(written)).isEqualTo(request);
  }

  /** Owners of earlier versions keep no tokens, and their decisions name none. */
  @Test
  void decisionsAreReadInBothForms() {
    var earlier = PeerFormat.readDecision(bytes("{\"keeps\":true,\"wait\":0.7}"));
    assertThat(earlier).isEqualTo(Decision.decided(OptionalDouble.of(0.7)));
    assertThat(new String(PeerFormat.writeDecision(earlier), StandardCharsets.UTF_8))
        .isEqualTo("{\"keeps\":true,\"wait\":0.7}");
    var claimed = new Decision(true, OptionalDouble.of(0.7), true, Optional.empty());
    assertThat(PeerFormat.readDecision(PeerFormat.writeDecision(claimed))).isEqualTo(claimed);
    var ample = new Decision(true, OptionalDouble.empty(), false, Optional.empty(), true);
    assertThat(PeerFormat.readDecision(PeerFormat.writeDecision(ample))).isEqualTo(ample);
  }

  /** Daemons of earlier versions read the first two elements of a load, and write no others. */
  @Test
  void exchangesLoadsWithEarlierVersions() {
    EndpointLoad load =
        new EndpointLoad(
            2, 900, new RecentOutcomes(1.5, -0.25, 0.5), new RecentDemand(5_000, 4_000), 7_000);
    MemberUpdate update =
        new MemberUpdate(
            "d-1", Map.of("e-1", load), new Batch(Position.START, List.of()), Position.START);
    byte[] written = PeerFormat.writeMemberUpdate(update);
    assertThat(new String(written, StandardCharsets.UTF_8))
        .contains("\"loads\":{\"e-1\":[2,900,1.5,-0.25,0.5,5000,4000,7000]}");
    assertThat(PeerFormat.readMemberUpdate(written)).isEqualTo(update);
    String earlier = "{\"daemon\":\"d-1\",\"loads\":{\"e-1\":[2,900]}}";
    assertThat(PeerFormat.readMemberUpdate(bytes(earlier)).loads())
        .isEqualTo(Map.of("e-1", new EndpointLoad(2, 900)));
  }
}
