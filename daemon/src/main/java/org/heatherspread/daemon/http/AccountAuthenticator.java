package org.heatherspread.daemon.http;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.heatherspread.core.config.AccountSpec;
import org.heatherspread.core.config.Configuration;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;

/**
 * Authenticates the client account of a request by its API key. Only hashes of the keys are stored;
 * the final comparison takes constant time.
 *
 * <p>Safe for use by any thread; the index is rebuilt when the configuration changes.
 */
public final class AccountAuthenticator {
  private final Supplier<Configuration> configuration;
  private volatile Index index = new Index(null, Map.of());

  private AccountAuthenticator(Supplier<Configuration> configuration) {
    this.configuration = configuration;
  }

  /** Creates an authenticator that reads the current configuration. */
  public static AccountAuthenticator create(Supplier<Configuration> configuration) {
    return new AccountAuthenticator(configuration);
  }

  /**
   * Returns the account that a request's key belongs to.
   *
   * @throws ServingException of kind {@code UNAUTHENTICATED}
   */
  public AccountSpec authenticate(HttpRequest request) {
    String key =
        BearerKey.of(request)
            .orElseThrow(
                () ->
                    ServingException.of(
                        ErrorKind.UNAUTHENTICATED, "missing header Authorization: Bearer KEY"));
    String hash = KeyHash.of(key);
    AccountSpec account = currentIndex().byHash().get(hash);
    if (account == null || !KeyHash.matches(hash, account.keyHash())) {
      throw ServingException.of(ErrorKind.UNAUTHENTICATED, "The key belongs to no client account");
    }
    return account;
  }

  private Index currentIndex() {
    Configuration latest = configuration.get();
    Index cached = index;
    if (cached.source() == latest) {
      return cached;
    }
    Map<String, AccountSpec> byHash = new HashMap<>();
    for (AccountSpec account : latest.accounts().values()) {
      byHash.put(account.keyHash(), account);
    }
    Index rebuilt = new Index(latest, Map.copyOf(byHash));
    index = rebuilt;
    return rebuilt;
  }

  private record Index(Configuration source, Map<String, AccountSpec> byHash) {}
}
