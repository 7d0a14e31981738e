package org.heatherspread.daemon.limit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.List;
import org.heatherspread.core.config.AccountLimits;
import org.heatherspread.core.config.AccountSpec;
import org.heatherspread.core.config.Configuration;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.time.ManualClock;
import org.heatherspread.daemon.DaemonContext;
import org.junit.jupiter.api.Test;

class SharedLimitAdmissionTest {
  private static final AccountSpec ACCOUNT =
      new AccountSpec("vets", "", new AccountLimits(100, 1e6, 1), 0, List.of());

  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final DaemonContext context =
      new DaemonContext(
          null,
          null,
          meters,
          ManualClock.create(),
          null,
          MembershipSnapshot::empty,
          Configuration::empty,
          null,
          null,
          null);
  private Duration wait = Duration.ZERO;
  private final SharedLimitAdmission admission =
      SharedLimitAdmission.create(context, LimitSettings.defaults(), service -> wait);

  @Test
  void grantIsReleasedOnce() {
    Admission.Grant grant = admission.admit(request(Duration.ofSeconds(5)));
    ServingException refused = refusal(Duration.ofSeconds(5));
    assertThat(refused.kind()).isEqualTo(ErrorKind.ACCOUNT_LIMIT);
    assertThat(refused.retryAfter()).isPresent();

    grant.release(10);
    grant.release(10);
    admission.admit(request(Duration.ofSeconds(5)));
    assertThat(refusal(Duration.ofSeconds(5)).kind()).isEqualTo(ErrorKind.ACCOUNT_LIMIT);
    assertThat(meters.counter("heatherspread.limits.refusals", "reason", "concurrency").count())
        .isEqualTo(2);
  }

  @Test
  void refusesDeadlineShorterThanQueueWithDifferenceAsRetryAfter() {
    wait = Duration.ofSeconds(3);
    ServingException refused = refusal(Duration.ofSeconds(1));
    assertThat(refused.kind()).isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);
    assertThat(refused.retryAfter()).contains(Duration.ofSeconds(2));
  }

  @Test
  void refusesRequestsAboveWaitLimitAsOverloaded() {
    wait = Duration.ofSeconds(3);
    assertThat(refusal(Duration.ofSeconds(60)).kind()).isEqualTo(ErrorKind.OVERLOADED);
  }

  private ServingException refusal(Duration remaining) {
    return catchThrowableOfType(ServingException.class, () -> admission.admit(request(remaining)));
  }

  private static AdmissionRequest request(Duration remaining) {
    return new AdmissionRequest(ACCOUNT, "assistant", 100, 100, 0, remaining);
  }
}
