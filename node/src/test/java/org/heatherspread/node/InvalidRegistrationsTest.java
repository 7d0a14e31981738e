package org.heatherspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.heatherspread.node.settings.NodeSettings;
import org.heatherspread.platform.FakePlatform;
import org.heatherspread.relay.FakeEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests one daemon with registrations that another program wrote among those of endpoints. */
class InvalidRegistrationsTest {
  private static final String KEY = "key";
  private static final int REQUESTS = 3;

  /** Longer than expected of requests, so that an endpoint without requests is tried first. */
  private static final int RESPONSE_MILLIS = 60;

  private static final String CONFIGURATION =
      """
      {"version": 1,
       "routes": [{"name": "r", "hostname": "localhost", "prefix": "/a/",
         "route-kind": "non_idempotent", "service": "s", "timeout-ms": 2000}],
       "services": [{"name": "s"}],
       "tenants": [{"name": "acme", "api-keys": ["key"]}]}
      """;

  private static final String REGISTRATION =
      """
      {"service": "s", "address": "%s", "zone": "z", "concurrency-slots": %s, "version": "v1",
       "state": "ready", "sequence-number": 1, "born": %s, "leaves_ms": %s, "cold-remaining-ms": 0}
      """;

  private final int callers = LoopbackSupport.freePort();
  private FakePlatform platform;
  private FakeEndpoint endpoint;

  @BeforeEach
  void start() throws Exception {
    platform = FakePlatform.start();
    platform.write("op", "config", CONFIGURATION);
    endpoint = startEndpoint();
    platform.registerEndpoint("sound", "s", endpoint.port(), false);
    int readiness = LoopbackSupport.freePort();
    String settings =
        """
        [daemon]
        name = "daemon-1"
        domain = "z"
        [listen]
        callers = "127.0.0.1:%d"
        readiness = "127.0.0.1:%d"
        directory = "127.0.0.1:%d"
        metrics = "127.0.0.1:%d"
        peers = "127.0.0.1:%d"
        [store]
        address = "%s"
        """
            .formatted(
                callers,
                readiness,
                LoopbackSupport.freePort(),
                LoopbackSupport.freePort(),
                LoopbackSupport.freePort(),
                platform.address());
    Node.create(NodeSettings.parse("test", settings)).start();
    LoopbackSupport.await(() -> LoopbackSupport.requestStatus(readiness, "/", KEY) == 200, 10_000);
  }

  private static FakeEndpoint startEndpoint() throws IOException {
    return FakeEndpoint.start(
        (request, connection) -> {
          TimeUnit.MILLISECONDS.sleep(RESPONSE_MILLIS);
          connection.respond(200, request.header("attempt-id"), "ok");
        });
  }

  @AfterEach
  void stop() throws Exception {
    platform.close();
    endpoint.close();
  }

  private static String registration(String address, String slots, String born, String leaves) {
    return REGISTRATION.formatted(address, slots, born, leaves);
  }

  private static Map<String, String> invalidRegistrations() {
    Map<String, String> rows = new LinkedHashMap<>();
    for (String address :
        new String[] {
          "127.0.0.1:0",
          "127.0.0.1:-1",
          "127.0.0.1:65536",
          "127.0.0.1:70000",
          "127.0.0.1:99999999999",
          "127.0.0.1:",
          ":80",
          "300.0.0.1:80",
          "no host:80",
          "host.invalid:80",
          "127.0.0.1\\r\\nX: y:80",
          "127.0.0.1:+80",
          "127.0.0.1:٨"
        }) {
      rows.put("address " + address, registration(address, "8", "1", "0"));
    }
    String sound = "127.0.0.1:1";
    for (String slots :
        new String[] {
          "0",
          "-1",
          "2147483648",
          "4294967297",
          "-9223372036854775808",
          "9".repeat(900),
          "9".repeat(5_000),
          "1e3",
          "1e400",
          "1e999999999"
        }) {
      rows.put("slots " + abbreviate(slots), registration(sound, slots, "1", "0"));
    }
    for (String number :
        new String[] {
          "9223372036854775808", "-1", "9".repeat(900), "9".repeat(5_000), "1e400", "1e999999999"
        }) {
      rows.put("born " + abbreviate(number), registration(sound, "8", number, "0"));
    }
    for (int depth : new int[] {500, 1_000, 10_000, 20_000}) {
      String nested = "[".repeat(depth) + "]".repeat(depth);
      rows.put("nested " + depth, nested);
      rows.put("nested field " + depth, registration(sound, "8", nested, "0"));
      rows.put("unclosed " + depth, "{\"a\":".repeat(depth));
    }
    return rows;
  }

  private static String abbreviate(String text) {
    return text.length() <= 25 ? text : text.charAt(0) + " x " + text.length();
  }

  private int failedRequests() {
    int failed = 0;
    for (int i = 0; i < REQUESTS; i++) {
      if (LoopbackSupport.requestStatus(callers, "/a/x", KEY) != 200) {
        failed++;
      }
    }
    return failed;
  }

  /** Callers lost the requests that were to be sent to an address without a valid port. */
  @Test
  void invalidRegistrationsCostNoRequests() throws Exception {
    assertThat(failedRequests()).isZero();
    Map<String, Integer> failures = new LinkedHashMap<>();
    int count = 0;
    for (Map.Entry<String, String> row : invalidRegistrations().entrySet()) {
      String id = "odd-" + count++;
      platform.write(FakePlatform.ENDPOINTS, id, row.getValue());
      TimeUnit.MILLISECONDS.sleep(200);
      int failed = failedRequests();
      if (failed > 0) {
        failures.put(row.getKey(), failed);
      }
      platform.delete(FakePlatform.ENDPOINTS, id);
    }
    assertThat(failures).isEmpty();
  }

  @Test
  void endpointIsUsedThatRegistersAmongInvalidRegistrations() throws Exception {
    int count = 0;
    for (String value : invalidRegistrations().values()) {
      platform.write(FakePlatform.ENDPOINTS, "odd-" + count++, value);
    }
    platform.write(FakePlatform.ENDPOINTS, "id with\r\nline break", "{}");
    platform.registerEndpoint("line\r\nbreak", "s", LoopbackSupport.freePort(), false);
    try (FakeEndpoint next = startEndpoint()) {
      platform.registerEndpoint("next", "s", next.port(), false);
      LoopbackSupport.await(
          () -> {
            LoopbackSupport.requestStatus(callers, "/a/x", KEY);
            return !next.requests().isEmpty();
          },
          5_000);
      platform.delete(FakePlatform.ENDPOINTS, "sound");
      TimeUnit.MILLISECONDS.sleep(500);
      assertThat(failedRequests()).isZero();
    }
  }
}
