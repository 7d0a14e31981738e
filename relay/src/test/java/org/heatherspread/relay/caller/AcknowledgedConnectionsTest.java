package org.heatherspread.relay.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

class AcknowledgedConnectionsTest {
  private static final String HEAD =
      "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout";

  private static final InetSocketAddress LOCAL = new InetSocketAddress("127.0.0.1", 8_080);

  private final AcknowledgedConnections connections =
      AcknowledgedConnections.parse(
          List.of(
              HEAD,
              "   0: 0100007F:1F90 0200007F:0050 05 00000000:00000000 00:00000000 00000000 0",
              "   1: 0100007F:1F90 0200007F:0051 04 00001000:00000000 00:00000000 00000000 0",
              "   2: 0000000000000000FFFF00000100007F:1F90"
                  + " 0000000000000000FFFF00000300007F:0052 05 00000000:00000000 00:00000000 0"));

  private boolean isAcknowledged(String address, int port) {
    return connections.contains(LOCAL, new InetSocketAddress(address, port));
  }

  @Test
  void onlyConnectionsWhoseEndWasAcknowledgedAreFound() {
    assertThat(isAcknowledged("127.0.0.2", 80)).isTrue();
    assertThat(isAcknowledged("127.0.0.2", 81)).isFalse();
    assertThat(isAcknowledged("127.0.0.2", 82)).isFalse();
  }

  @Test
  void mappedAddressesAreFound() {
    assertThat(isAcknowledged("127.0.0.3", 82)).isTrue();
  }

  @Test
  void nothingIsKnownWithoutTable() {
    AcknowledgedConnections none = AcknowledgedConnections.parse(List.of());
    assertThat(none.contains(LOCAL, new InetSocketAddress("127.0.0.2", 80))).isFalse();
    assertThat(none.contains(LOCAL, null)).isFalse();
  }
}
