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
import org.heatherspread.daemon.membership.MembershipClient;
import org.heatherspread.daemon.settings.OperatorSettings;

/** Creates the operator component and its dependencies. Stateless and thread-safe. */
public final class OperatorComponentFactory {
  private static final int ID_BYTES = 12;

  private OperatorComponentFactory() {}

  /** Returns a new random id for a plan or a write. */
  public static String randomId() {
    byte[] bytes = new byte[ID_BYTES];
    ThreadLocalRandom.current().nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  /**
   * Creates the component.
   *
   * @param leases supplies the names of the leases that this daemon holds
   * @param notReadyReason supplies the reason why this daemon accepts no new work, if there is one
   * @param drain starts to drain and stop this daemon; called at most once for each drain request
   */
  public static OperatorComponent create(
      DaemonContext context,
      OperatorSettings operators,
      ConfigurationLog log,
      CurrentConfiguration currentConfiguration,
      MembershipClient client,
      Supplier<List<String>> leases,
      Supplier<Optional<String>> notReadyReason,
      Runnable drain,
      ProblemResponses problems) {
    RolloutMonitor rollouts =
        new RolloutMonitor(
            context.self(), context.membership(), currentConfiguration, client, context.clock());
    PlanService plans =
        new PlanService(
            log,
            currentConfiguration,
            context.membership(),
            rollouts,
            context.wallClock(),
            OperatorComponentFactory::randomId,
            context.meters());
    return new OperatorComponent(
        operators,
        currentConfiguration,
        context.membership(),
        () -> status(context, currentConfiguration, leases.get(), notReadyReason.get()),
        plans,
        drain,
        problems);
  }

  private static DaemonStatus status(
      DaemonContext context,
      CurrentConfiguration currentConfiguration,
      List<String> leases,
      Optional<String> notReadyReason) {
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
        currentConfiguration.get().version(),
        daemons,
        endpoints,
        leases,
        notReadyReason,
        draining);
  }
}
