package org.heatherspread.relay.call;

import java.net.ConnectException;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.limit.LimitOwnerClient;
import org.heatherspread.core.limit.PartitionedLimiter;
import org.heatherspread.core.serving.AccountConfig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Admits requests of client accounts. The daemon that owns an account's limit decides; if it fails
 * to, this daemon decides locally. Confined to one event loop.
 */
public final class AccountAdmission {
  private static final Logger log = LoggerFactory.getLogger(AccountAdmission.class);

  private final PartitionedLimiter limits;
  private final LimitOwnerClient ownerClient;

  private AccountAdmission(PartitionedLimiter limits, LimitOwnerClient ownerClient) {
    this.limits = limits;
    this.ownerClient = ownerClient;
  }

  /**
   * Creates an admission control.
   *
   * @param limits limits of this daemon, which also decide locally
   * @param ownerClient client for the decisions of other daemons
   */
  public static AccountAdmission create(PartitionedLimiter limits, LimitOwnerClient ownerClient) {
    return new AccountAdmission(limits, ownerClient);
  }

  /**
   * The decision on a request.
   *
   * @param waitSeconds empty if admitted, otherwise the time until the account has capacity
   * @param decidedBy name of the daemon that decided, {@code self} for this one
   */
  record Decision(OptionalDouble waitSeconds, String decidedBy) {}

  /**
   * Decides on a request.
   *
   * @param amount number of requests or tokens, depending on what the account limits
   * @return completes immediately unless another daemon decides; never fails
   */
  CompletableFuture<Decision> admit(AccountConfig account, double amount) {
    if (account.ratePerSecond() <= 0) {
      return CompletableFuture.completedFuture(decideLocally(account, amount));
    }
    takeOver(account);
    Optional<String> owner = limits.remoteOwner(account.name());
    if (owner.isEmpty()) {
      return CompletableFuture.completedFuture(decideLocally(account, amount));
    }
    return requestAdmission(owner.get(), account, amount, true);
  }

  /**
   * Requests the decision of an owner.
   *
   * @param mayRetry whether to ask once more if the owner does not answer and this daemon may not
   *     admit the request
   */
  private CompletableFuture<Decision> requestAdmission(
      String owner, AccountConfig account, double amount, boolean mayRetry) {
    double unreported = limits.startReport(account.name());
    return ownerClient
        .requestAdmission(owner, account.name(), amount, unreported)
        .handle(
            (ownerDecision, failure) -> {
              boolean decided = failure == null && ownerDecision.decidedByOwner();
              if (unreported > 0) {
                limits.endReport(account.name(), decided);
              }
              if (decided) {
                limits.ownerAnswered(owner);
                return CompletableFuture.completedFuture(
                    new Decision(ownerDecision.waitSeconds(), owner));
              }
              return failure == null
                  ? onDeclined(owner, account, amount, ownerDecision, mayRetry)
                  : onFailed(owner, account, amount, failure, mayRetry);
            })
        .thenCompose(decision -> decision);
  }

  private CompletableFuture<Decision> onDeclined(
      String owner,
      AccountConfig account,
      double amount,
      LimitOwnerClient.Decision declined,
      boolean mayRetry) {
    String other = declined.owner().orElse(null);
    if (limits.ownerDeclined(account.name(), owner, other)) {
      return requestAdmission(other, account, amount, mayRetry);
    }
    logUndecided(account, owner, "daemon is not the owner of the limit");
    return CompletableFuture.completedFuture(decideLocally(account, amount));
  }

  private CompletableFuture<Decision> onFailed(
      String owner, AccountConfig account, double amount, Throwable failure, boolean mayRetry) {
    boolean stopped = isConnectionRefused(failure);
    limits.ownerFailed(owner, stopped);
    logUndecided(account, owner, failure.getMessage());
    Decision local = decideLocally(account, amount);
    if (local.waitSeconds().isPresent() && mayRetry && !stopped) {
      return requestAdmission(owner, account, amount, false);
    }
    return CompletableFuture.completedFuture(local);
  }

  private static void logUndecided(AccountConfig account, String owner, String reason) {
    log.atInfo()
        .addKeyValue("account", account.name())
        .addKeyValue("keeper", owner)
        .addKeyValue("reason", reason)
        .log("limit is decided without its keeper");
  }

  /** Asks the previous owner to release a newly owned limit, unless it was asked a moment ago. */
  private void takeOver(AccountConfig account) {
    Optional<String> previous = limits.startTakeover(account.name());
    if (previous.isEmpty()) {
      return;
    }
    ownerClient
        .requestRelease(previous.get(), account.name(), limits.self())
        .whenComplete((holder, failure) -> onReleased(account, previous.get(), holder, failure));
  }

  private void onReleased(
      AccountConfig account, String previous, Optional<String> holder, Throwable failure) {
    String outcome = "released";
    if (failure == null && holder.isPresent() && !holder.get().equals(limits.self())) {
      limits.redirectTakeover(account.name(), holder.get());
      outcome = "held by " + holder.get();
    } else if (failure == null || isConnectionRefused(failure)) {
      limits.endTakeover(account, previous);
    }
    log.atInfo()
        .addKeyValue("account", account.name())
        .addKeyValue("from", previous)
        .addKeyValue("outcome", failure == null ? outcome : String.valueOf(failure.getMessage()))
        .log("account limit taken over");
  }

  /** Returns whether nothing listens at the owner's address, so that it admits no requests. */
  private static boolean isConnectionRefused(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException) {
        return true;
      }
    }
    return false;
  }

  private Decision decideLocally(AccountConfig account, double amount) {
    return new Decision(limits.admit(account, amount), "self");
  }

  /**
   * Decides on a request of another daemon, as the owner of the account's limit.
   *
   * @param unreported amount that the other daemon has admitted without this one
   */
  public LimitOwnerClient.Decision decideAsOwner(
      AccountConfig account, double amount, double unreported) {
    takeOver(account);
    if (!limits.isOwner(account.name())) {
      return LimitOwnerClient.Decision.declined(Optional.ofNullable(limits.owner(account.name())));
    }
    limits.chargeReported(account, unreported);
    return LimitOwnerClient.Decision.decided(limits.admit(account, amount));
  }

  /**
   * Releases a limit to its new owner.
   *
   * @return the daemon that holds the limit instead of this one; empty if this daemon has released
   *     it or knows of no other holder
   */
  public Optional<String> release(String account, String newOwner) {
    return limits.release(account, newOwner);
  }

  /**
   * Sets the daemons that may own limits, and takes over those that this daemon owns from now on.
   *
   * @param names daemons that may own limits
   * @param admitting all daemons that may admit requests
   * @param leaseMillis time from this view for which its owners decide
   */
  public void updateDaemons(
      Collection<String> names,
      Collection<String> admitting,
      long leaseMillis,
      Collection<AccountConfig> accounts) {
    Set<String> ownedBefore = limits.ownedAccounts();
    limits.updateDaemons(names, admitting, leaseMillis, accounts);
    accounts.forEach(this::takeOver);
    Set<String> owned = limits.ownedAccounts();
    if (!owned.equals(ownedBefore)) {
      log.atInfo()
          .addKeyValue("accounts", String.join(" ", new TreeSet<>(owned)))
          .addKeyValue("daemons", String.join(" ", new TreeSet<>(names)))
          .log("owned account limits changed");
    }
  }
}
