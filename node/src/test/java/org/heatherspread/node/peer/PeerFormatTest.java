package org.heatherspread.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.heatherspread.core.limit.EndpointLimit;
import org.heatherspread.core.limit.LimitObservation;
import org.heatherspread.core.stream.StreamOrigin;
import org.junit.jupiter.api.Test;

class PeerFormatTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void readsWhatItWrites() {
    var account = new PeerFormat.AdmissionRequest("acme", Optional.empty(), 750, 90);
    var endpoint =
        PeerFormat.AdmissionRequest.of(new EndpointLimit("e-1", 1_700_000_000_000L, 1.5), 1, 0);
    for (PeerFormat.AdmissionRequest admission : List.of(account, endpoint)) {
      assertThat(PeerFormat.readAdmissionRequest(PeerFormat.writeAdmissionRequest(admission)))
          .isEqualTo(admission);
    }
    var observations =
        new PeerFormat.LimitObservations(
            "d-1", List.of(new LimitObservation("e-1", 7, LimitObservation.NONE, 20)));
    assertThat(PeerFormat.readObservations(PeerFormat.writeObservations(observations)))
        .isEqualTo(observations);
    for (Optional<StreamOrigin> origin :
        List.of(Optional.of(new StreamOrigin("s", "v1")), Optional.<StreamOrigin>empty())) {
      assertThat(PeerFormat.readStreamOrigin(PeerFormat.writeStreamOrigin(origin)))
          .isEqualTo(origin);
    }
    var release = new PeerFormat.ReleaseRequest("acme", "d-2");
    assertThat(PeerFormat.readReleaseRequest(PeerFormat.writeReleaseRequest(release)))
        .isEqualTo(release);
    for (Optional<String> holder : List.of(Optional.of("d-3"), Optional.<String>empty())) {
      assertThat(PeerFormat.readHolder(PeerFormat.writeHolder(holder))).isEqualTo(holder);
    }
  }

  /** Daemons of earlier versions report nothing that they admitted without the owner. */
  @Test
  void readsAdmissionRequestsOfEarlierVersions() {
    assertThat(PeerFormat.readAdmissionRequest(bytes("{\"account\":\"acme\",\"amount\":750}")))
        .isEqualTo(new PeerFormat.AdmissionRequest("acme", Optional.empty(), 750, 0));
  }
}
