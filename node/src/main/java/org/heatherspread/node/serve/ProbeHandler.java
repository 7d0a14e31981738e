package org.heatherspread.node.serve;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.heatherspread.relay.caller.CallerRequest;
import org.heatherspread.relay.caller.CallerRequestHandler;
import org.heatherspread.relay.caller.ResponseWriter;

/** Answers every request by a state: readiness, or a text such as metrics. Stateless. */
public final class ProbeHandler implements CallerRequestHandler {
  private final BooleanSupplier ok;
  private final Supplier<String> text;

  private ProbeHandler(BooleanSupplier ok, Supplier<String> text) {
    this.ok = ok;
    this.text = text;
  }

  /** Answers 200 while the condition holds, else 503. */
  public static ProbeHandler readiness(BooleanSupplier ready) {
    return new ProbeHandler(ready, () -> "");
  }

  /** Answers with a text. */
  public static ProbeHandler text(Supplier<String> text) {
    return new ProbeHandler(() -> true, text);
  }

  @Override
  public void handle(CallerRequest request, ResponseWriter answer) {
    answer.send(
        ok.getAsBoolean() ? 200 : 503,
        new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8"),
        text.get().getBytes(StandardCharsets.UTF_8));
  }
}
