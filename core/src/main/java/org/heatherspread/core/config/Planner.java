package org.heatherspread.core.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.heatherspread.core.config.PlanStep.Action;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.MembershipSnapshot;

/**
 * Makes plans for intents against one version of the configuration. Making a plan changes nothing.
 *
 * <p>Immutable and thread-safe. Intents that are malformed, or concern something that does not
 * exist, are rejected with a {@link ServingException}.
 */
public final class Planner {
  private final Configuration base;
  private final MembershipSnapshot members;

  private Planner(Configuration base, MembershipSnapshot members) {
    this.base = base;
    this.members = members;
  }

  /** Creates a planner for a version of the configuration and the current instances. */
  public static Planner create(Configuration base, MembershipSnapshot members) {
    return new Planner(base, members);
  }

  /**
   * Makes a plan.
   *
   * @param id id of the plan
   * @param operator operator who requests the plan
   * @param nowMillis current time, in milliseconds since the epoch
   * @param validity time during which the plan can be confirmed
   * @throws ServingException if the intent is not valid
   */
  public Plan plan(Intent intent, String id, String operator, long nowMillis, Duration validity) {
    Draft draft = draft(intent);
    return new Plan(
        id,
        intent,
        base.version(),
        List.of(draft.change),
        draft.steps,
        draft.costPerHour,
        draft.disturbs,
        operator,
        nowMillis,
        nowMillis + validity.toMillis());
  }

  private Draft draft(Intent intent) {
    if (intent instanceof Intent.PutService put) {
      return putService(put.service());
    }
    if (intent instanceof Intent.RetireService retire) {
      return retireService(retire.service());
    }
    if (intent instanceof Intent.PutAccount put) {
      return putAccount(put.account());
    }
    if (intent instanceof Intent.RemoveAccount remove) {
      return removeAccount(remove.account());
    }
    if (intent instanceof Intent.AddModelVersion add) {
      return addVersion(add);
    }
    if (intent instanceof Intent.RetireModelVersion retire) {
      return retireVersion(retire);
    }
    if (intent instanceof Intent.KeepServing keep) {
      return keepServing(keep);
    }
    return releaseDomain((Intent.ReleaseDomain) intent);
  }

  private Draft putService(ServiceSpec spec) {
    IntentValidator.checkService(spec);
    Draft draft = new Draft(new Change.PutService(spec));
    ServiceSpec old = base.services().get(spec.name());
    draft.addStep(Action.CONFIGURE, old == null ? "create the service" : "replace the service");
    for (ModelVersion version : spec.versions()) {
      if (old == null || old.version(version.version()).isEmpty()) {
        draft.addStep(Action.PROVISION, "load version " + version.version());
      }
    }
    if (old != null) {
      for (ModelVersion version : old.versions()) {
        if (spec.version(version.version()).isEmpty()) {
          draft.addStep(Action.DRAIN, "drain version " + version.version());
          draft.addStep(Action.RELEASE, "unload version " + version.version());
          draft.disturbs.add("callers that ask for version " + version.version());
        }
      }
    }
    for (String domain : spec.domains()) {
      if (old == null || !old.domains().contains(domain)) {
        addInstances(draft, spec.name(), domain);
      }
    }
    return draft;
  }

  private Draft retireService(String name) {
    requireService(name);
    Draft draft = new Draft(new Change.RemoveService(name));
    List<Member> endpoints = members.endpoints(name);
    draft.addStep(Action.CONFIGURE, "refuse new requests of the service");
    draft.addStep(
        Action.DRAIN, "let requests in progress finish on " + endpoints.size() + " instances");
    draft.addStep(Action.RELEASE, "give " + endpoints.size() + " instances back");
    draft.costPerHour = Optional.of(-price(endpoints));
    draft.disturbs.add("callers of " + name + " are refused from the confirmation on");
    for (AccountSpec account : base.accounts().values()) {
      if (account.services().contains(name)) {
        draft.disturbs.add("client account " + account.name() + " names the service");
      }
    }
    return draft;
  }

  private Draft keepServing(Intent.KeepServing keep) {
    requireService(keep.service());
    IntentValidator.checkName(keep.domain(), "domain");
    Draft draft = new Draft(new Change.AddDomain(keep.service(), keep.domain()));
    draft.addStep(Action.CONFIGURE, "keep the target in " + keep.domain());
    addInstances(draft, keep.service(), keep.domain());
    return draft;
  }

  private Draft releaseDomain(Intent.ReleaseDomain release) {
    if (!requireService(release.service()).domains().contains(release.domain())) {
      throw notFound(release.service() + " is not required to serve in " + release.domain());
    }
    Draft draft = new Draft(new Change.RemoveDomain(release.service(), release.domain()));
    List<Member> endpoints = endpoints(release.service(), release.domain());
    draft.addStep(Action.CONFIGURE, "no longer keep the target in " + release.domain());
    draft.addStep(Action.DRAIN, "let requests in progress finish where capacity is not needed");
    draft.costPerHour = Optional.of(-price(endpoints));
    draft.disturbs.add("callers near " + release.domain() + " may be served from farther away");
    return draft;
  }

  private Draft addVersion(Intent.AddModelVersion add) {
    ServiceSpec spec = requireModelService(add.service());
    IntentValidator.checkName(add.version(), "version");
    ModelVersion version = new ModelVersion(add.version(), add.adapters(), VersionState.ACTIVE);
    Draft draft = new Draft(new Change.PutVersion(spec.name(), version));
    int endpoints = members.endpoints(spec.name()).size();
    draft.addStep(Action.CONFIGURE, "add version " + add.version());
    draft.addStep(Action.PROVISION, "order " + endpoints + " instances to load it");
    draft.costPerHour = Optional.of(0.0);
    draft.disturbs.add(
        "loading takes weight store bandwidth and memory on " + endpoints + " instances");
    return draft;
  }

  private Draft retireVersion(Intent.RetireModelVersion retire) {
    ServiceSpec spec = requireModelService(retire.service());
    ModelVersion old =
        spec.version(retire.version())
            .orElseThrow(() -> notFound(retire.service() + " has no version " + retire.version()));
    if (old.state() != VersionState.ACTIVE) {
      throw malformed("version " + retire.version() + " is retired already");
    }
    ModelVersion next = new ModelVersion(old.version(), old.adapters(), VersionState.RETIRING);
    Draft draft = new Draft(new Change.PutVersion(spec.name(), next));
    draft.addStep(Action.CONFIGURE, "send no new request to version " + retire.version());
    draft.addStep(Action.DRAIN, "let its requests in progress finish");
    draft.addStep(Action.RELEASE, "order its instances to unload it");
    draft.costPerHour = Optional.of(0.0);
    draft.disturbs.add("callers that ask for " + retire.service() + "@" + retire.version());
    return draft;
  }

  private Draft putAccount(AccountSpec account) {
    IntentValidator.checkAccount(account, base);
    Draft draft = new Draft(new Change.PutAccount(account));
    AccountSpec old = base.accounts().get(account.name());
    draft.addStep(Action.CONFIGURE, old == null ? "create the account" : "replace the account");
    draft.costPerHour = Optional.of(0.0);
    if (old != null && !old.keyHash().equals(account.keyHash())) {
      draft.disturbs.add("callers with the old key of " + account.name() + " are refused");
    }
    return draft;
  }

  private Draft removeAccount(String name) {
    if (!base.accounts().containsKey(name)) {
      throw notFound("unknown client account: " + name);
    }
    Draft draft = new Draft(new Change.RemoveAccount(name));
    draft.addStep(Action.CONFIGURE, "refuse the account's key");
    draft.addStep(Action.DRAIN, "let its requests in progress finish");
    draft.costPerHour = Optional.of(0.0);
    draft.disturbs.add("callers with the key of " + name + " are refused");
    return draft;
  }

  private void addInstances(Draft draft, String service, String domain) {
    if (!endpoints(service, domain).isEmpty()) {
      draft.addCost(0);
      return;
    }
    draft.addStep(Action.PROVISION, "start at least one instance in " + domain);
    List<Member> others = members.endpoints(service);
    if (others.isEmpty()) {
      draft.markCostUnknown();
    } else {
      draft.addCost(price(others) / others.size());
    }
  }

  private List<Member> endpoints(String service, String domain) {
    return members.endpoints(service).stream()
        .filter(m -> m.instance().domain().name().equals(domain))
        .toList();
  }

  private static double price(List<Member> members) {
    return members.stream().mapToDouble(m -> m.instance().pricePerHour()).sum();
  }

  private ServiceSpec requireService(String name) {
    ServiceSpec spec = base.services().get(name);
    if (spec == null) {
      throw notFound("unknown service: " + name);
    }
    return spec;
  }

  private ServiceSpec requireModelService(String name) {
    ServiceSpec spec = requireService(name);
    if (spec.kind() != ServiceKind.MODEL) {
      throw malformed(name + " is a plain service and has no versions");
    }
    return spec;
  }

  private static ServingException notFound(String detail) {
    return ServingException.of(ErrorKind.NOT_FOUND, detail);
  }

  private static ServingException malformed(String detail) {
    return ServingException.of(ErrorKind.MALFORMED_REQUEST, detail);
  }

  /** Collects the contents of a plan. Confined to one call. */
  private static final class Draft {
    private final Change change;
    private final List<PlanStep> steps = new ArrayList<>();
    private final List<String> disturbs = new ArrayList<>();
    private Optional<Double> costPerHour = Optional.of(0.0);

    private Draft(Change change) {
      this.change = change;
    }

    private void addStep(Action action, String detail) {
      steps.add(new PlanStep(action, change.path(), detail));
    }

    private void addCost(double added) {
      costPerHour = costPerHour.map(cost -> cost + added);
    }

    private void markCostUnknown() {
      costPerHour = Optional.empty();
    }
  }
}
