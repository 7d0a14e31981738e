package org.heatherspread.bench.caller;

import java.util.List;

/**
 * A caller of the system as docs/INTERFACES.md asks it to be: it asks for addresses, follows the
 * retry advice of each error, resumes streams elsewhere, and repeats writes only with the same
 * permit or key.
 *
 * <p>Safe for use by any thread.
 */
public final class RoutedCaller implements Caller {
  private final ChatCaller chat;
  private final PlainCaller plain;

  private RoutedCaller(ChatCaller chat, PlainCaller plain) {
    this.chat = chat;
    this.plain = plain;
  }

  /** Creates a caller with an account's key that knows some daemons. */
  public static RoutedCaller create(String key, List<String> daemons) {
    CallerHttpClient httpClient = new CallerHttpClient(key);
    AddressCache addressCache = new AddressCache(httpClient, daemons);
    return new RoutedCaller(
        new ChatCaller(httpClient, addressCache), new PlainCaller(httpClient, addressCache));
  }

  @Override
  public CallReport call(CallSpec spec) {
    return spec.kind() == CallSpec.Kind.CHAT ? chat.call(spec) : plain.call(spec);
  }
}
