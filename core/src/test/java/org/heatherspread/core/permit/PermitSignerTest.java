package org.heatherspread.core.permit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.heatherspread.core.permit.PermitVerification.Reason;
import org.heatherspread.core.record.AdmissionResult;
import org.heatherspread.core.record.CallDescriptor;
import org.heatherspread.core.record.DaemonRef;
import org.heatherspread.core.record.OwnerTable;
import org.heatherspread.core.record.RecordLimits;
import org.heatherspread.core.record.RequestId;
import org.heatherspread.core.time.ManualClock;

/** Checks that permits cannot be forged, reused, or used by another account. */
class PermitSignerTest {
  private static final PermitKey OLD = PermitKey.of("2025", "0123456789abcdef-old");
  private static final PermitKey NEW = PermitKey.of("2026", "0123456789abcdef-new");
  private static final DaemonRef OWNER = new DaemonRef("daemon-1", 3);

  private final RequestId id = RequestId.create(OWNER, new DaemonRef("daemon-2", 4), new Random(1));
  private final ExecutionPermit permit = new ExecutionPermit(id, "patikoop", 60_000);
  private final PermitSigner signer = PermitSigner.create(NEW);

  @Example
  void signedPermitIsAccepted() {
    PermitVerification result = signer.verify(signer.sign(permit), "patikoop");
    assertThat(result.permit()).contains(permit);
  }

  @Example
  void permitOfAnotherAccountIsRejected() {
    assertThat(signer.verify(signer.sign(permit), "oberland").reason())
        .isEqualTo(Reason.OTHER_ACCOUNT);
  }

  @Property(tries = 500, seed = "12")
  void anyChangedCharacterIsRejected(
      @ForAll @IntRange(min = 0, max = 400) int at, @ForAll @IntRange(min = 33, max = 126) int c) {
    StringBuilder text = new StringBuilder(signer.sign(permit));
    int index = at % text.length();
    if (text.charAt(index) == c) {
      return;
    }
    text.setCharAt(index, (char) c);
    PermitVerification result = signer.verify(text.toString(), "patikoop");
    assertThat(result.permit()).as(text.toString()).isEmpty();
  }

  @Example
  void previousKeyIsAcceptedOnlyDuringRotation() {
    String old = PermitSigner.create(OLD).sign(permit);
    assertThat(signer.verify(old, "patikoop").reason()).isEqualTo(Reason.UNKNOWN_KEY);
    assertThat(signer.withAcceptedKey(OLD).verify(old, "patikoop").permit()).contains(permit);
  }

  @Example
  void permitIsUsedOnceBeforeItsExpiryByItsOwnersIncarnation() {
    ManualClock clock = ManualClock.create();
    RecordLimits limits = RecordLimits.defaults();
    CallDescriptor draft =
        new CallDescriptor(id, permit.account(), "digest", permit.expiresAtMillis());

    OwnerTable owner = OwnerTable.create(OWNER, clock, limits);
    assertThat(owner.begin(draft)).isEqualTo(AdmissionResult.ADMITTED);
    assertThat(owner.begin(draft)).isEqualTo(AdmissionResult.KNOWN);

    OwnerTable restarted = OwnerTable.create(new DaemonRef("daemon-1", 4), clock, limits);
    assertThat(restarted.begin(draft)).isEqualTo(AdmissionResult.NOT_KEEPER);

    clock.advance(Duration.ofSeconds(60));
    OwnerTable late = OwnerTable.create(OWNER, clock, limits);
    assertThat(late.begin(draft)).isEqualTo(AdmissionResult.EXPIRED);
  }
}
