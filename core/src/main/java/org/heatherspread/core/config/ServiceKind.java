package org.heatherspread.core.config;

/** Kind of a service, which determines its protocol. */
public enum ServiceKind {
  /** Inference engines behind the chat completions API. */
  MODEL,
  /** A plain HTTP service. */
  PLAIN
}
