package org.heatherspread.core.membership;

import org.heatherspread.core.model.Instance;

/** An action that {@link MembershipCore} requests from its caller. Immutable. */
public sealed interface MembershipAction {
  /** Sends a message to a daemon and reports its reply or the failure. */
  record Send(Instance to, ExchangeMessage message) implements MembershipAction {}

  /** Asks a daemon to probe another daemon and reports whether the target answered. */
  record IndirectProbe(Instance via, Instance target) implements MembershipAction {}

  /** Probes an endpoint and reports whether it answered. */
  record ProbeEndpoint(Instance endpoint) implements MembershipAction {}

  /** Fetches the full configuration from a daemon that has a newer one. */
  record FetchConfiguration(Instance from) implements MembershipAction {}
}
