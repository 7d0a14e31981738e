package org.heatherspread.daemon.limit;

/** Admits every request; for measurements without limits. Safe for use by any thread. */
public final class AdmitAll implements Admission {
  private AdmitAll() {}

  /** Creates an admission that refuses nobody. */
  public static AdmitAll create() {
    return new AdmitAll();
  }

  @Override
  public Grant admit(AdmissionRequest request) {
    return answerTokens -> {};
  }
}
