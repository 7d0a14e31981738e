package org.heatherspread.daemon.limit;

/** Admits all requests; for tests and measurements without limits. Thread-safe. */
public final class UnlimitedAdmission implements Admission {
  private UnlimitedAdmission() {}

  /** Creates an instance. */
  public static UnlimitedAdmission create() {
    return new UnlimitedAdmission();
  }

  @Override
  public Grant admit(AdmissionRequest request) {
    return answerTokens -> {};
  }
}
