package org.heatherspread.daemon.poison;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashSet;
import java.util.Optional;
import org.heatherspread.core.poison.Evidence;
import org.heatherspread.protocol.generated.poison.CrashEvidence;

/** Encodes crash evidence for dissemination between daemons. Stateless. */
final class EvidenceCodec {
  private EvidenceCodec() {}

  static byte[] encode(Evidence evidence) {
    return CrashEvidence.newBuilder()
        .setFingerprint(evidence.fingerprint())
        .addAllCrashes(evidence.crashes())
        .addAllCleared(evidence.cleared())
        .setPoisoned(evidence.poisoned())
        .build()
        .toByteArray();
  }

  /** Returns the evidence, or empty if the bytes are malformed. */
  static Optional<Evidence> decode(byte[] value) {
    try {
      CrashEvidence message = CrashEvidence.parseFrom(value);
      return Optional.of(
          new Evidence(
              message.getFingerprint(),
              new HashSet<>(message.getCrashesList()),
              new HashSet<>(message.getClearedList()),
              message.getPoisoned()));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }
}
