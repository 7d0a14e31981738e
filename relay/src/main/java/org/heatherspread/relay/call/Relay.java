package org.heatherspread.relay.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.heatherspread.core.placement.Workload;
import org.heatherspread.core.serving.AccountConfig;
import org.heatherspread.core.serving.Route;
import org.heatherspread.core.serving.ServingConfig;
import org.heatherspread.relay.caller.CallerAnswer;
import org.heatherspread.relay.caller.CallerHandler;
import org.heatherspread.relay.caller.CallerRequest;

/**
 * Decides for each request of a caller whether it may run: route, key, limit; then starts its
 * {@link RelayCall}. Confined to the event loop of its state.
 */
public final class Relay implements CallerHandler {
  private static final String BEARER = "Bearer ";

  /** How long callers wait whose daemon has no configuration yet, in seconds. */
  private static final double NOT_READY_RETRY_SECONDS = 0.3;

  /** Time allowed for a request that states none on a route without a time-out, in milliseconds. */
  private static final long DEFAULT_DEADLINE_MILLIS = 15_000;

  private final RelayState state;
  private final RelayHeaders names;
  private final Forwarding forwarding;

  private Relay(RelayState state, RelayHeaders names) {
    this.state = state;
    this.names = names;
    this.forwarding = Forwarding.create(names);
  }

  /** Creates a relay that decides by a state. */
  public static Relay create(RelayState state, RelayHeaders names) {
    return new Relay(state, names);
  }

  @Override
  public void handle(CallerRequest request, CallerAnswer answer) {
    String id = Optional.ofNullable(request.headers().get(names.requestId())).orElse("");
    OwnAnswer own = new OwnAnswer(state, id, request, answer);
    Optional<ServingConfig> known = state.config();
    if (known.isEmpty()) {
      own.refuse(Refusal.NOT_READY, NOT_READY_RETRY_SECONDS);
      return;
    }
    ServingConfig config = known.get();
    String host = Optional.ofNullable(request.headers().get(HttpHeaderNames.HOST)).orElse("");
    Optional<Route> found = config.route(host, request.target());
    if (found.isEmpty()) {
      own.refuse(Refusal.NO_ROUTE, 0);
      return;
    }
    Route route = found.get();
    boolean needsKey = config.hasAccounts() && !route.anonymous();
    Optional<AccountConfig> account = needsKey ? account(config, request) : Optional.empty();
    if (needsKey && !state.trustsKeys()) {
      own.refuse(Refusal.KEYS_TOO_OLD, NOT_READY_RETRY_SECONDS);
      return;
    }
    if (needsKey && account.isEmpty()) {
      own.refuse(Refusal.UNKNOWN_KEY, 0);
      return;
    }
    CallFacts facts = facts(id, request, config, route, account);
    if (account.isEmpty()) {
      start(facts, needsKey, answer, own);
      return;
    }
    double amount = amount(account.get(), facts);
    state
        .accounts()
        .admit(account.get(), amount)
        .thenAccept(
            admission -> {
              own.account(account.get().name(), amount, admission.decidedBy());
              admitted(admission, facts, answer, own);
            });
  }

  private void admitted(
      AccountGate.Admission admission, CallFacts facts, CallerAnswer answer, OwnAnswer own) {
    if (admission.waitSeconds().isPresent()) {
      own.refuse(Refusal.ACCOUNT_LIMIT, admission.waitSeconds().getAsDouble());
      return;
    }
    start(facts, true, answer, own);
  }

  private void start(CallFacts facts, boolean needsKey, CallerAnswer answer, OwnAnswer own) {
    RelayCall.start(state, names, forwarding, facts, needsKey, answer, own);
  }

  private static Optional<AccountConfig> account(ServingConfig config, CallerRequest request) {
    String value = request.headers().get(HttpHeaderNames.AUTHORIZATION);
    if (value == null || !value.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
      return Optional.empty();
    }
    return config.account(value.substring(BEARER.length()).trim());
  }

  private CallFacts facts(
      String id,
      CallerRequest request,
      ServingConfig config,
      Route route,
      Optional<AccountConfig> account) {
    HttpHeaders headers = request.headers();
    Workload work =
        PromptHeaders.work(headers.get(names.tokenCounts()), headers.get(names.promptParts()));
    int expected = state.lengths().expectedTokens(route.name(), work.answerTokens());
    int urgency = route.priority();
    if (account.isPresent() && account.get().priority() >= 0) {
      urgency = account.get().priority();
    }
    return new CallFacts(
        id,
        request,
        route,
        route.selectService(state.random().nextDouble()),
        account.map(AccountConfig::name).orElse(""),
        new Workload(work.segments(), work.promptTokens(), expected),
        work.promptTokens() + work.answerTokens(),
        urgency,
        request.arrivedMillis() + allowedMillis(headers, route),
        config.version());
  }

  private long allowedMillis(HttpHeaders headers, Route route) {
    long ofRoute = route.timeoutMillis() > 0 ? route.timeoutMillis() : Long.MAX_VALUE;
    long stated = stated(headers.get(names.deadline()));
    long allowed = Math.min(ofRoute, stated);
    return allowed == Long.MAX_VALUE ? DEFAULT_DEADLINE_MILLIS : allowed;
  }

  private static long stated(String header) {
    if (header == null) {
      return Long.MAX_VALUE;
    }
    try {
      return Math.max(0, (long) Double.parseDouble(header.trim()));
    } catch (NumberFormatException e) {
      // A caller that states no readable time gets the route's.
      return Long.MAX_VALUE;
    }
  }

  private static double amount(AccountConfig account, CallFacts facts) {
    if (!account.countsTokens()) {
      return 1;
    }
    return facts.statedTokens() > 0 ? facts.statedTokens() : account.defaultTokens();
  }
}
