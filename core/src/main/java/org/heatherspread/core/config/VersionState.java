package org.heatherspread.core.config;

/** Lifecycle state of a model version. */
public enum VersionState {
  /** Accepts new requests. */
  ACTIVE,
  /** Accepts no new requests; those in progress finish. */
  RETIRING,
  /** Not loaded on any endpoint. */
  RETIRED
}
