package org.heatherspread.bench.caller;

import java.util.List;

/**
 * A caller of the system as docs/INTERFACES.md asks it to be: it asks for addresses, follows the
 * retry advice of each error, resumes streams elsewhere, and repeats writes only with the same
 * permit or key.
 *
 * <p>Safe for use by any thread.
 */
public final class SystemCaller implements Caller {
  private final ChatCaller chat;
  private final PlainCaller plain;

  private SystemCaller(ChatCaller chat, PlainCaller plain) {
    this.chat = chat;
    this.plain = plain;
  }

  /** Creates a caller with an account's key that knows some daemons. */
  public static SystemCaller create(String key, List<String> daemons) {
    HttpCalls calls = new HttpCalls(key);
    AddressBook book = new AddressBook(calls, daemons);
    return new SystemCaller(new ChatCaller(calls, book), new PlainCaller(calls, book));
  }

  @Override
  public CallReport call(CallPlan plan) {
    return plan.kind() == CallPlan.Kind.CHAT ? chat.call(plan) : plain.call(plan);
  }
}
