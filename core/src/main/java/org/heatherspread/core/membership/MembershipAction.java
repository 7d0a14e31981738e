package org.heatherspread.core.membership;

import org.heatherspread.core.model.Instance;

/** What the membership logic asks its surroundings to do. Immutable. */
public sealed interface MembershipAction {
  /** Send a message to a daemon and report its reply or the failure. */
  record Send(Instance to, ExchangeMessage message) implements MembershipAction {}

  /** Ask a daemon to probe another and report whether it answered. */
  record IndirectProbe(Instance via, Instance target) implements MembershipAction {}

  /** Probe an endpoint and report whether it answered. */
  record ProbeEndpoint(Instance endpoint) implements MembershipAction {}

  /** Fetch the whole configuration from a daemon that has a newer one. */
  record FetchConfiguration(Instance from) implements MembershipAction {}
}
