package org.heatherspread.daemon.security;

import org.heatherspread.settings.Section;

/**
 * Files and names for mutual TLS between daemons. Immutable.
 *
 * @param certificate PEM file of this deployment's daemon certificate; empty disables TLS
 * @param key PEM file of its private key (PKCS #8)
 * @param authority PEM file of the trusted certificate authorities
 * @param name the name that every daemon's certificate carries
 */
public record PeerTlsSettings(String certificate, String key, String authority, String name) {
  private static final String DEFAULT_NAME = "heatherspread-daemon";

  /** Returns settings without TLS. */
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
    boolean complete = !settings.key.isEmpty() && !settings.authority.isEmpty();
    if (settings.isEnabled() && !complete) {
      section.addProblem("certificate", "requires key and authority to be set");
    }
    return settings;
  }

  /** Returns whether daemons authenticate each other. */
  public boolean isEnabled() {
    return !certificate.isEmpty();
  }
}
