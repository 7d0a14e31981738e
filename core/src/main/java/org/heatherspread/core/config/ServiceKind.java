package org.heatherspread.core.config;

/** How a service is called. */
public enum ServiceKind {
  /** Model engines behind the chat completions format. */
  MODEL,
  /** A plain HTTP service. */
  PLAIN
}
