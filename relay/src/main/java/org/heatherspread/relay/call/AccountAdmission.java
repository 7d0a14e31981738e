package org.heatherspread.relay.call;

import java.net.ConnectException;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.limit.KeptLimits;
import org.heatherspread.core.limit.LimitPeers;
import org.heatherspread.core.serving.AccountRule;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Admits requests of client accounts, by asking the daemon that keeps an account's limit or alone
 * where that one does not answer. Confined to one event loop.
 */
public final class AccountAdmission {
  private static final Logger log = LoggerFactory.getLogger(AccountAdmission.class);

  private final KeptLimits limits;
  private final LimitPeers ownerClient;

  private AccountAdmission(KeptLimits limits, LimitPeers ownerClient) {
    this.limits = limits;
    this.ownerClient = ownerClient;
  }

  /** Creates a gate. */
  public static AccountAdmission create(KeptLimits limits, LimitPeers ownerClient) {
    return new AccountAdmission(limits, ownerClient);
  }

  /**
   * Whether a request may run.
   *
   * @param waitSeconds empty if it may, else when its account has room again
   * @param decidedBy the daemon that decided
   */
  record Decision(OptionalDouble waitSeconds, String decidedBy) {}

  /**
   * Admits a request or tells when to come back.
   *
   * @param amount requests or tokens, as the account counts
   * @return completes at once where no other daemon has to be asked; does not fail
   */
  CompletableFuture<Decision> admit(AccountRule account, double amount) {
    boolean limited = account.ratePerSecond() > 0;
    Optional<String> owner = limited ? limits.ask(account.name()) : Optional.empty();
    if (owner.isEmpty()) {
      return CompletableFuture.completedFuture(decideLocally(account, amount));
    }
    return ownerClient
        .ask(owner.get(), account.name(), amount)
        .handle(
            (answer, failure) -> {
              if (failure == null && answer.keeps()) {
                return new Decision(answer.waitSeconds(), owner.get());
              }
              recordOwnerFailure(account, owner.get(), failure);
              return decideLocally(account, amount);
            });
  }

  private void recordOwnerFailure(AccountRule account, String owner, Throwable failure) {
    limits.unanswered(owner, isConnectionRefused(failure));
    log.atInfo()
        .addKeyValue("account", account.name())
        .addKeyValue("keeper", owner)
        .addKeyValue("reason", failure == null ? "not kept there" : failure.getMessage())
        .log("limit is decided without its keeper");
  }

  /** Tells whether nobody listens where the keeper did, so that it surely admits nothing. */
  private static boolean isConnectionRefused(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException) {
        return true;
      }
    }
    return false;
  }

  private Decision decideLocally(AccountRule account, double amount) {
    return new Decision(limits.admit(account, amount), "self");
  }

  /** Decides for another daemon, as the keeper of the account's limit. */
  public LimitPeers.Answer decideAsOwner(AccountRule account, double amount) {
    if (!limits.keeps(account.name())) {
      return LimitPeers.Answer.NOT_KEPT;
    }
    return new LimitPeers.Answer(true, limits.admit(account, amount));
  }

  /** Takes in which daemons may keep limits. */
  public void updateDaemons(Collection<String> names, Collection<AccountRule> accounts) {
    limits.daemons(names, accounts);
  }
}
