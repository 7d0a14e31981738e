package org.heatherspread.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import org.heatherspread.core.freshness.StoreFreshness;
import org.heatherspread.core.poison.EndpointIncarnation;
import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.core.store.SharedRow;
import org.heatherspread.core.store.StorePosition;
import org.heatherspread.core.time.ManualClock;
import org.heatherspread.node.RelayStateFixtures;
import org.heatherspread.platform.RegistrationParser;
import org.heatherspread.relay.call.RelayState;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** The store returns after an outage, or from a copy that was made before the latest changes. */
class EndpointListenerTest {
  private static final String REGISTRATION =
      """
      {"service": "s", "address": "127.0.0.1:1", "zone": "z", "concurrency-slots": 1,
       "state": "%s", "sequence-number": 1, "born": 7}
      """;

  private final ManualClock clock = ManualClock.create();
  private final RelayState state =
      RelayStateFixtures.create(clock, StoreFreshness.create(clock, InstantSource.system()), null);
  private final EndpointListener listener = new EndpointListener(state, RegistrationParser::parse);

  private void read(long era, long version, SharedRow... rows) {
    SharedReadResult result =
        new SharedReadResult(List.of(rows), new StorePosition(era, version), 1_000, 0);
    listener.onFullRead(result, era > 1);
  }

  private static SharedRow registration(String endpointState) {
    byte[] value = REGISTRATION.formatted(endpointState).getBytes(StandardCharsets.UTF_8);
    return new SharedRow("e1", value, 3, false);
  }

  private boolean isUsable() {
    return state.endpoints().get("e1").orElseThrow().isUsable(clock.millis());
  }

  @Test
  void endpointWhoseRegistrationTheRestoredStoreLostStaysInUseForSomeTime() {
    clock.advance(Duration.ofMinutes(1));
    read(1, 3, registration("ready"));
    read(2, 2);
    assertThat(isUsable()).isTrue();
    clock.advance(Duration.ofSeconds(2));
    assertThat(isUsable()).isFalse();
  }

  @Test
  void endpointThatGaveNoticeBeforeTheRestoreIsNotUsedAgain() {
    clock.advance(Duration.ofMinutes(1));
    read(1, 3, registration("draining"));
    read(2, 2, registration("ready"));
    assertThat(isUsable()).isFalse();
  }

  /**
   * The notice came with a response, and the endpoint's state was dropped with its registration.
   */
  @Test
  void endpointThatLeftBeforeTheRestoreIsNotUsedAgain() {
    clock.advance(Duration.ofMinutes(1));
    read(1, 3, registration("ready"));
    state.endpoints().get("e1").orElseThrow().markLeaving();
    read(1, 4);
    assertThat(state.endpoints().get("e1")).isEmpty();
    read(2, 2, registration("ready"));
    assertThat(isUsable()).isFalse();
  }

  @Test
  void nextIncarnationOfAnEndpointThatLeftIsUsed() {
    clock.advance(Duration.ofMinutes(1));
    read(1, 3, registration("draining"));
    read(1, 4);
    assertThat(state.endpoints().get("e1")).isEmpty();
    byte[] value =
        REGISTRATION
            .formatted("ready")
            .replace("\"born\": 7", "\"born\": 8")
            .getBytes(StandardCharsets.UTF_8);
    read(1, 5, new SharedRow("e1", value, 5, false));
    assertThat(isUsable()).isTrue();
  }

  private boolean hasStopped() {
    return state.endpoints().get("e1").orElseThrow().hasStopped();
  }

  private void reportStopped() {
    state.mergeStopped(new EndpointIncarnation("e1", 7), "d2", 0);
  }

  private static SharedRow registrationOfVersion(long rowVersion) {
    byte[] value = REGISTRATION.formatted("ready").getBytes(StandardCharsets.UTF_8);
    return new SharedRow("e1", value, rowVersion, false);
  }

  @Test
  void endpointThatRefusedConnectionsIsNotTrustedForAnOldRegistration() {
    clock.advance(Duration.ofMinutes(1));
    read(1, 3, registrationOfVersion(3));
    reportStopped();
    clock.advance(Duration.ofMinutes(1));
    read(1, 3, registrationOfVersion(3));
    assertThat(hasStopped()).isTrue();
  }

  /** The store may perform a write of the incarnation that ended seconds later. */
  @Test
  void endpointThatRefusedConnectionsIsNotTrustedForRegistrationWrittenJustAfter() {
    clock.advance(Duration.ofMinutes(1));
    read(1, 3, registrationOfVersion(3));
    reportStopped();
    clock.advance(Duration.ofSeconds(2));
    read(1, 4, registrationOfVersion(4));
    assertThat(hasStopped()).isTrue();
  }

  @Test
  void endpointThatGoesOnToRegisterHasNotStopped() {
    clock.advance(Duration.ofMinutes(1));
    read(1, 3, registrationOfVersion(3));
    reportStopped();
    clock.advance(Duration.ofSeconds(4));
    read(1, 4, registrationOfVersion(4));
    clock.advance(Duration.ofSeconds(1));
    read(1, 5, registrationOfVersion(5));
    assertThat(hasStopped()).isFalse();
  }

  @Test
  void nextIncarnationOfAnEndpointThatHasStoppedIsTrusted() {
    clock.advance(Duration.ofMinutes(1));
    read(1, 3, registrationOfVersion(3));
    reportStopped();
    byte[] value =
        REGISTRATION
            .formatted("ready")
            .replace("\"born\": 7", "\"born\": 8")
            .getBytes(StandardCharsets.UTF_8);
    read(1, 4, new SharedRow("e1", value, 4, false));
    assertThat(hasStopped()).isFalse();
  }

  private void loseConnections() {
    state.endpoints().get("e1").orElseThrow().recordDisconnection(clock.millis());
  }

  private boolean mayHaveStopped() {
    return state.endpoints().get("e1").orElseThrow().mayHaveStopped();
  }

  @Test
  void endpointWhoseConnectionsWereLostBeforeAnOutageIsInDoubtUntilItRegistersAgain() {
    clock.advance(Duration.ofMinutes(1));
    read(1, 3, registrationOfVersion(3));
    loseConnections();
    assertThat(mayHaveStopped()).isFalse();
    listener.onFailure("no response");
    assertThat(mayHaveStopped()).isTrue();
    assertThat(hasStopped()).isFalse();
    clock.advance(Duration.ofSeconds(4));
    read(1, 3, registrationOfVersion(3));
    assertThat(mayHaveStopped()).isTrue();
    clock.advance(Duration.ofSeconds(1));
    read(1, 4, registrationOfVersion(4));
    assertThat(mayHaveStopped()).isFalse();
  }

  @Test
  void endpointThatRegisteredAfterItsConnectionsWereLostIsNotInDoubt() {
    clock.advance(Duration.ofMinutes(1));
    read(1, 3, registrationOfVersion(3));
    loseConnections();
    clock.advance(Duration.ofSeconds(4));
    read(1, 4, registrationOfVersion(4));
    clock.advance(Duration.ofSeconds(1));
    read(1, 5, registrationOfVersion(5));
    listener.onFailure("no response");
    assertThat(mayHaveStopped()).isFalse();
  }

  private void recoverFromOutage(SharedRow... rows) {
    clock.advance(Duration.ofMinutes(1));
    read(1, 3, registration("ready"));
    listener.onFailure("no response");
    clock.advance(Duration.ofSeconds(5));
    listener.onFailure("no response");
    clock.advance(Duration.ofMillis(400));
    read(1, 4, rows);
  }

  @Test
  void endpointWhoseRegistrationExpiredInAnOutageStaysInUseForSomeTime() {
    recoverFromOutage();
    clock.advance(Duration.ofMillis(1_700));
    assertThat(isUsable()).isTrue();
    clock.advance(Duration.ofMillis(200));
    assertThat(isUsable()).isFalse();
  }

  @Test
  void endpointThatLeftSoonAfterAnOutageIsNotUsedForTheWholeGracePeriod() {
    recoverFromOutage(registration("ready"));
    clock.advance(Duration.ofSeconds(1));
    read(1, 5);
    clock.advance(Duration.ofMillis(900));
    assertThat(isUsable()).isFalse();
  }

  @Test
  void endpointThatLeftTwoSecondsAfterAnOutageIsNotUsed() {
    recoverFromOutage(registration("ready"));
    clock.advance(Duration.ofSeconds(2));
    read(1, 5);
    assertThat(state.endpoints().get("e1")).isEmpty();
  }

  @Test
  void endpointWhoseRegistrationBecomesInvalidIsUsedOnceItIsValidAgain() {
    clock.advance(Duration.ofMinutes(1));
    read(1, 3, registration("ready"));
    byte[] value =
        REGISTRATION
            .formatted("ready")
            .replace(":1\"", ":70000\"")
            .getBytes(StandardCharsets.UTF_8);
    read(1, 4, new SharedRow("e1", value, 4, false));
    assertThat(state.endpoints().get("e1")).isEmpty();
    read(1, 5, registration("ready"));
    assertThat(isUsable()).isTrue();
  }

  @Test
  void invalidRegistrationIsLoggedOnceForEachVersion() {
    ListAppender<ILoggingEvent> appender = new ListAppender<>();
    Logger logger = (Logger) LoggerFactory.getLogger(EndpointListener.class);
    appender.start();
    logger.addAppender(appender);
    try {
      for (long version : new long[] {3, 3, 3, 4, 4}) {
        read(1, 4, new SharedRow("odd", new byte[] {'{'}, version, false));
      }
      assertThat(appender.list).hasSize(2);
    } finally {
      logger.detachAppender(appender);
    }
  }
}
