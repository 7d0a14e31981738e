package org.heatherspread.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class PeerFormatTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void readsWhatItWrites() {
    var admission = new PeerFormat.AdmissionRequest("acme", 750, 90);
    assertThat(PeerFormat.readAdmissionRequest(PeerFormat.writeAdmissionRequest(admission)))
        .isEqualTo(admission);
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
        .isEqualTo(new PeerFormat.AdmissionRequest("acme", 750, 0));
  }
}
