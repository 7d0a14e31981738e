package org.heatherspread.daemon.security;

import org.heatherspread.settings.Section;

/**
 * Where the keys are with which daemons authenticate each other. Immutable.
 *
 * @param certificate PEM file of this deployment's daemon certificate; empty for no TLS
 * @param key PEM file of its private key (PKCS #8)
 * @param authority PEM file of the authorities whose certificates are accepted
 * @param name the name that every daemon's certificate carries
 */
public record PeerTlsSettings(String certificate, String key, String authority, String name) {
  private static final String DEFAULT_NAME = "heatherspread-daemon";

  /** Returns the settings for no TLS. */
  public static PeerTlsSettings disabled() {
    return new PeerTlsSettings("", "", "", DEFAULT_NAME);
  }

  /** Reads the section {@code [peer_tls]}. */
  public static PeerTlsSettings read(Section section) {
    PeerTlsSettings settings =
        new PeerTlsSettings(
            section.text("certificate", ""),
            section.text("key", ""),
            section.text("authority", ""),
            section.text("name", DEFAULT_NAME));
    boolean all = !settings.key.isEmpty() && !settings.authority.isEmpty();
    if (settings.isEnabled() && !all) {
      section.addProblem("certificate", "needs key and authority as well");
    }
    return settings;
  }

  /** Tells whether daemons authenticate each other. */
  public boolean isEnabled() {
    return !certificate.isEmpty();
  }
}
