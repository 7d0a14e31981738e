package org.heatherspread.relay.call;

import java.net.ConnectException;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.limit.LimitOwnerClient;
import org.heatherspread.core.limit.PartitionedLimiter;
import org.heatherspread.core.serving.AccountConfig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Admits requests of client accounts, by asking the daemon that keeps an account's limit or alone
 * where that one does not answer. Confined to one event loop.
 */
public final class AccountGate {
  private static final Logger log = LoggerFactory.getLogger(AccountGate.class);

  private final PartitionedLimiter limits;
  private final LimitOwnerClient peers;

  private AccountGate(PartitionedLimiter limits, LimitOwnerClient peers) {
    this.limits = limits;
    this.peers = peers;
  }

  /** Creates a gate. */
  public static AccountGate create(PartitionedLimiter limits, LimitOwnerClient peers) {
    return new AccountGate(limits, peers);
  }

  /**
   * Whether a request may run.
   *
   * @param waitSeconds empty if it may, else when its account has room again
   * @param decidedBy the daemon that decided
   */
  record Admission(OptionalDouble waitSeconds, String decidedBy) {}

  /**
   * Admits a request or tells when to come back.
   *
   * @param amount requests or tokens, as the account counts
   * @return completes at once where no other daemon has to be asked; does not fail
   */
  CompletableFuture<Admission> admit(AccountConfig account, double amount) {
    boolean limited = account.ratePerSecond() > 0;
    Optional<String> keeper = limited ? limits.remoteOwner(account.name()) : Optional.empty();
    if (keeper.isEmpty()) {
      return CompletableFuture.completedFuture(alone(account, amount));
    }
    return peers
        .requestAdmission(keeper.get(), account.name(), amount)
        .handle(
            (answer, failure) -> {
              if (failure == null && answer.decidedByOwner()) {
                return new Admission(answer.waitSeconds(), keeper.get());
              }
              unanswered(account, keeper.get(), failure);
              return alone(account, amount);
            });
  }

  private void unanswered(AccountConfig account, String keeper, Throwable failure) {
    limits.ownerFailed(keeper, isDead(failure));
    log.atInfo()
        .addKeyValue("account", account.name())
        .addKeyValue("keeper", keeper)
        .addKeyValue("reason", failure == null ? "not kept there" : failure.getMessage())
        .log("limit is decided without its keeper");
  }

  /** Tells whether nobody listens where the keeper did, so that it surely admits nothing. */
  private static boolean isDead(Throwable failure) {
    for (Throwable each = failure; each != null; each = each.getCause()) {
      if (each instanceof ConnectException) {
        return true;
      }
    }
    return false;
  }

  private Admission alone(AccountConfig account, double amount) {
    return new Admission(limits.admit(account, amount), "self");
  }

  /** Decides for another daemon, as the keeper of the account's limit. */
  public LimitOwnerClient.Decision decide(AccountConfig account, double amount) {
    if (!limits.isOwner(account.name())) {
      return LimitOwnerClient.Decision.NOT_OWNER;
    }
    return new LimitOwnerClient.Decision(true, limits.admit(account, amount));
  }

  /** Takes in which daemons may keep limits. */
  public void daemons(Collection<String> names, Collection<AccountConfig> accounts) {
    limits.updateDaemons(names, accounts);
  }
}
