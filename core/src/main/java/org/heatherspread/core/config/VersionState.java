package org.heatherspread.core.config;

/** The life of a model version. */
public enum VersionState {
  /** Takes new requests. */
  ACTIVE,
  /** Takes no new requests; those in progress finish. */
  RETIRING,
  /** Not loaded anywhere. */
  RETIRED
}
