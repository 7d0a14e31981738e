package org.heatherspread.daemon.address;

import static org.apache.pekko.http.javadsl.server.Directives.complete;
import static org.apache.pekko.http.javadsl.server.Directives.extractRequest;
import static org.apache.pekko.http.javadsl.server.Directives.get;
import static org.apache.pekko.http.javadsl.server.Directives.path;
import static org.apache.pekko.http.javadsl.server.PathMatchers.segment;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.server.Route;
import org.heatherspread.core.address.AddressRanking;
import org.heatherspread.core.config.AccountSpec;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.model.Instance;
import org.heatherspread.daemon.DaemonComponent;
import org.heatherspread.daemon.DaemonContext;
import org.heatherspread.daemon.http.AccountAuthenticator;
import org.heatherspread.daemon.http.ProblemResponses;
import org.heatherspread.daemon.permit.PermitService;
import org.heatherspread.daemon.permit.PermitService.SignedPermit;

/**
 * Serves {@code GET /v1/addresses}: the daemons that a caller should use, in order of preference,
 * the validity of this list, and permits for non-repeatable calls. The header {@code
 * X-Failure-Domain} names the preferred domain; the default is the domain of this daemon.
 *
 * <p>Thread-safe.
 */
public final class AddressComponent implements DaemonComponent {
  private static final String FAILURE_DOMAIN_HEADER = "X-Failure-Domain";
  private static final ObjectMapper JSON = new ObjectMapper();

  private final DaemonContext context;
  private final AddressSettings settings;
  private final PermitService permits;
  private final AccountAuthenticator auth;
  private final ProblemResponses problems;

  private AddressComponent(
      DaemonContext context,
      AddressSettings settings,
      PermitService permits,
      AccountAuthenticator auth,
      ProblemResponses problems) {
    this.context = context;
    this.settings = settings;
    this.permits = permits;
    this.auth = auth;
    this.problems = problems;
  }

  /** Creates the component. */
  public static AddressComponent create(
      DaemonContext context,
      AddressSettings settings,
      PermitService permits,
      AccountAuthenticator auth,
      ProblemResponses problems) {
    return new AddressComponent(context, settings, permits, auth, problems);
  }

  @Override
  public Optional<Route> routes() {
    return Optional.of(
        path(
            segment("v1").slash("addresses"),
            () -> get(() -> extractRequest(request -> complete(respond(request))))));
  }

  private HttpResponse respond(HttpRequest request) {
    try {
      AccountSpec account = auth.authenticate(request);
      String domain =
          request
              .getHeader(FAILURE_DOMAIN_HEADER)
              .map(HttpHeader::value)
              .orElse(context.self().domain().name());
      return json(createAddresses(account, domain));
    } catch (ServingException e) {
      return problems.toResponse(e);
    }
  }

  private Addresses createAddresses(AccountSpec account, String domain) {
    List<Instance> daemons =
        AddressRanking.rank(
            context.membership().get().daemons(),
            domain,
            context.self().domain().region(),
            ThreadLocalRandom.current().nextLong(),
            settings.maxAddresses());
    List<Address> addresses = new ArrayList<>();
    for (Instance each : daemons) {
      addresses.add(
          new Address(each.id(), each.baseUrl(), each.domain().region(), each.domain().name()));
    }
    List<Permit> issuedPermits = new ArrayList<>();
    for (SignedPermit each : permits.issue(account.name(), daemons)) {
      issuedPermits.add(
          new Permit(
              each.token(),
              each.permit().id().toString(),
              each.permit().id().owner().id(),
              each.permit().expiresAtMillis()));
    }
    return new Addresses(addresses, settings.validity().toMillis(), issuedPermits);
  }

  private static HttpResponse json(Addresses body) {
    try {
      return HttpResponse.create()
          .withEntity(ContentTypes.APPLICATION_JSON, JSON.writeValueAsBytes(body))
          .addHeader(RawHeader.create("Cache-Control", "no-store"));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize addresses", e);
    }
  }

  private record Addresses(
      List<Address> addresses, @JsonProperty("valid_ms") long validMillis, List<Permit> permits) {}

  private record Address(String id, String url, String region, String domain) {}

  private record Permit(
      String permit,
      @JsonProperty("request_id") String requestId,
      String owner,
      @JsonProperty("expires_at") long expiresAt) {}
}
