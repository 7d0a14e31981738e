package org.heatherspread.bench.caller;

import java.util.List;

/**
 * Calls services through the router as docs/INTERFACES.md specifies for callers: obtains daemon
 * addresses, follows the retry advice of each error, resumes streams at other daemons, and repeats
 * a write only under the same permit or idempotency key.
 *
 * <p>Thread-safe.
 */
public final class RoutedCaller implements Caller {
  private final ChatCaller chat;
  private final PlainCaller plain;

  private RoutedCaller(ChatCaller chat, PlainCaller plain) {
    this.chat = chat;
    this.plain = plain;
  }

  /** Creates a caller with an account key and the base URLs of some daemons. */
  public static RoutedCaller create(String accountKey, List<String> daemonUrls) {
    CallerHttpClient httpClient = new CallerHttpClient(accountKey);
    AddressCache addressCache = new AddressCache(httpClient, daemonUrls);
    return new RoutedCaller(
        new ChatCaller(httpClient, addressCache), new PlainCaller(httpClient, addressCache));
  }

  @Override
  public CallReport call(CallSpec spec) {
    return spec.kind() == CallSpec.Kind.CHAT ? chat.call(spec) : plain.call(spec);
  }
}
