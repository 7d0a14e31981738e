package org.heatherspread.node.soak;

import java.util.EnumSet;
import java.util.Set;

/** Faults and changes that a soak run injects. The constants appear by name in the run's result. */
enum FaultKind {
  /** A daemon is killed and restarted. */
  DAEMON_KILLED,
  /** A daemon is stopped with SIGTERM and restarted. */
  DAEMON_STOPPED,
  /** A daemon is suspended with SIGSTOP and resumed later. */
  DAEMON_PAUSED,
  /** A daemon receives SIGHUP to reload its settings. */
  DAEMON_RELOADED,
  /** All daemons are killed at the same time and restarted. */
  ALL_KILLED,
  /** The proxy between a daemon and the store delays, stalls or refuses its connections. */
  STORE_LINK,
  /** All connections of a daemon to the store are reset. */
  STORE_LINK_RESET,
  /** The store fails for all daemons. */
  STORE,
  /** The store drops its history of changes. */
  STORE_HISTORY,
  /** The store fails for a moment and returns from a copy that is some seconds old. */
  STORE_RESTORED,
  /** Callers send requests that end each endpoint that begins their answers. */
  CRASHING_REQUESTS,
  /** The proxy in front of an endpoint delays, stalls or refuses its connections. */
  ENDPOINT_LINK,
  /** All connections to an endpoint are reset. */
  ENDPOINT_LINK_RESET,
  /** An endpoint fails a fraction of its requests. */
  ENDPOINT_FAULTY,
  /**
   * An endpoint registers as draining, is closed later, and is replaced by a new one, which may
   * have another version of the software.
   */
  ENDPOINT_REPLACED,
  /** An endpoint names a limit in its responses, another one than before, or none any longer. */
  ENDPOINT_LIMITED,
  /** An endpoint is closed without notice and replaced by a new one. */
  ENDPOINT_LOST,
  /** A new configuration version is written. */
  CONFIGURATION,
  /** An API key is revoked. */
  KEY_REVOKED,
  /** Callers send several requests on a connection before the response to the first one. */
  REQUESTS_SENT_AHEAD,
  /** Callers read large responses slowly, and a daemon is stopped with SIGTERM meanwhile. */
  SLOW_READERS,
  /** Callers send many bodies of almost the permitted size at the same time. */
  UPLOADS,
  /** The store returns from an old copy twice in a row. */
  STORE_RESTORED_TWICE,
  /** The store returns from an old copy while a daemon starts. */
  STORE_RESTORED_AT_START,
  /** The store returns from a copy in which an endpoint that has left is still registered. */
  LEFT_ENDPOINT_RESTORED,
  /** Endpoints of a service repeat answers, cut heads, or resume streams at a wrong event. */
  ENDPOINTS_STUTTER,
  /** A service is added and, while callers leave its streams, retired with its endpoints. */
  SERVICE_RETIRED,
  /** While the store fails, endpoints start as another version under their ids and addresses. */
  RELEASED_IN_PLACE,
  /** Registrations appear that are nested deeply or have values out of range. */
  ODD_REGISTRATIONS,
  /** The holder of the duty lease is suspended with SIGSTOP and resumed later. */
  DUTY_HOLDER_PAUSED,
  /**
   * Endpoints refuse requests and copy the refusals, while they name limits whose owners answer
   * late, are replaced in place under new ids, and callers repeat attempts with their ids.
   */
  REFUSALS_COPIED;

  /** The kinds of the first version of the soak, whose seeds keep their meaning. */
  static final Set<FaultKind> BASE = EnumSet.range(DAEMON_KILLED, KEY_REVOKED);

  /** The kinds that were added later. */
  static final Set<FaultKind> FURTHER = EnumSet.range(REQUESTS_SENT_AHEAD, REFUSALS_COPIED);

  /** The further kinds without the latest one, whose seeds keep their meaning as well. */
  static final Set<FaultKind> FURTHER_OF_EARLIER_SEEDS =
      EnumSet.range(REQUESTS_SENT_AHEAD, DUTY_HOLDER_PAUSED);

  /** Kinds that, without others, are no reason to lose a request. */
  static final Set<FaultKind> WITHOUT_LOSS =
      EnumSet.of(
          REQUESTS_SENT_AHEAD,
          SLOW_READERS,
          UPLOADS,
          STORE_RESTORED_TWICE,
          LEFT_ENDPOINT_RESTORED,
          SERVICE_RETIRED,
          ODD_REGISTRATIONS);
}
