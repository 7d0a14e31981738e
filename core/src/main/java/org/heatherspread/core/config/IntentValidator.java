package org.heatherspread.core.config;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.regex.Pattern;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;

/**
 * Validates the contents of intents. Stateless; the methods throw a {@link ServingException} of
 * kind {@code MALFORMED_REQUEST}.
 */
final class IntentValidator {
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
  private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");

  private IntentValidator() {}

  static void checkName(String name, String field) {
    require(
        name != null && NAME.matcher(name).matches(),
        field + " must be 1 to 63 letters, digits, dots, dashes or underscores");
  }

  static void checkService(ServiceSpec spec) {
    require(spec != null, "service is missing");
    checkName(spec.name(), "service name");
    require(spec.kind() != null, "service kind is missing");
    require(spec.target() != null, "latency target is missing");
    require(isPositive(spec.target().firstToken()), "latency target must be positive");
    if (spec.kind() == ServiceKind.PLAIN) {
      require(spec.versions().isEmpty(), "a plain service has no versions");
    } else {
      require(isPositive(spec.target().interToken()), "latency target must be positive");
      require(spec.rules().isEmpty(), "a model service has no method rules");
    }
    Set<String> names = new HashSet<>();
    for (ModelVersion version : spec.versions()) {
      checkName(version.version(), "version");
      require(
          names.add(version.version()),
          "version '" + version.version() + "' is listed more than once");
    }
    for (String domain : spec.domains()) {
      checkName(domain, "domain");
    }
  }

  static void checkAccount(AccountSpec account, Configuration base) {
    require(account != null, "account is missing");
    checkName(account.name(), "account name");
    require(
        account.keyHash() != null && KEY_HASH.matcher(account.keyHash()).matches(),
        "key hash must be the lower-case hex SHA-256 of the key");
    AccountLimits limits = account.limits();
    require(limits != null, "limits are missing");
    require(
        limits.requestsPerSecond() > 0 && limits.tokensPerSecond() > 0 && limits.concurrency() > 0,
        "limits must be positive");
    for (String service : account.services()) {
      require(base.services().containsKey(service), "unknown service: " + service);
    }
    for (AccountSpec other : base.accounts().values()) {
      require(
          other.name().equals(account.name()) || !other.keyHash().equals(account.keyHash()),
          "the key is already used by another account");
    }
  }

  private static boolean isPositive(Duration interval) {
    return interval != null && !interval.isNegative() && !interval.isZero();
  }

  private static void require(boolean condition, String detail) {
    if (!condition) {
      throw ServingException.of(ErrorKind.MALFORMED_REQUEST, detail);
    }
  }
}
