package org.heatherspread.daemon.control;

import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.heatherspread.core.config.ConfigurationLog;
import org.heatherspread.core.config.CurrentConfiguration;
import org.heatherspread.core.membership.Health;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.daemon.DaemonContext;
import org.heatherspread.daemon.http.ProblemResponses;
import org.heatherspread.daemon.membership.PeerCalls;
import org.heatherspread.daemon.settings.OperatorSettings;

/** Builds the control component from the daemon's parts. Stateless. */
public final class ControlFactory {
  private static final int ID_BYTES = 12;

  private ControlFactory() {}

  /** Returns a new random id for a plan or a write. */
  public static String randomId() {
    byte[] bytes = new byte[ID_BYTES];
    ThreadLocalRandom.current().nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  /**
   * Creates the component.
   *
   * @param leases names of the control work whose lease this daemon holds
   * @param notReady tells why this daemon takes no new work
   * @param drain starts the stop of this daemon; called at most once for each operator's call
   */
  public static ControlComponent create(
      DaemonContext context,
      OperatorSettings operators,
      ConfigurationLog log,
      CurrentConfiguration inForce,
      PeerCalls calls,
      Supplier<List<String>> leases,
      Supplier<Optional<String>> notReady,
      Runnable drain,
      ProblemResponses problems) {
    InForceCheck check =
        new InForceCheck(context.self(), context.membership(), inForce, calls, context.clock());
    PlanDesk plans =
        new PlanDesk(
            log,
            inForce,
            context.membership(),
            check,
            context.wallClock(),
            ControlFactory::randomId,
            context.meters());
    return new ControlComponent(
        operators,
        inForce,
        context.membership(),
        () -> status(context, inForce, leases.get(), notReady.get()),
        plans,
        drain,
        problems);
  }

  private static DaemonStatus status(
      DaemonContext context,
      CurrentConfiguration inForce,
      List<String> leases,
      Optional<String> notReady) {
    var self = context.self();
    var snapshot = context.membership().get();
    long daemons = snapshot.daemons().stream().filter(Member::takesNewWork).count();
    long endpoints =
        snapshot.members().values().stream()
            .filter(m -> m.instance().kind() != InstanceKind.DAEMON && m.takesNewWork())
            .count();
    boolean draining =
        snapshot.member(self.id()).map(m -> m.health() == Health.LEAVING).orElse(false);
    return new DaemonStatus(
        self.id(),
        self.incarnation(),
        self.domain().region(),
        self.domain().name(),
        inForce.get().version(),
        daemons,
        endpoints,
        leases,
        notReady,
        draining);
  }
}
