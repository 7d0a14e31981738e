package org.heatherspread.daemon.limit;

/** Admits every request; for measurements without limits. Safe for use by any thread. */
public final class UnlimitedAdmission implements Admission {
  private UnlimitedAdmission() {}

  /** Creates an admission that refuses nobody. */
  public static UnlimitedAdmission create() {
    return new UnlimitedAdmission();
  }

  @Override
  public Grant admit(AdmissionRequest request) {
    return answerTokens -> {};
  }
}
