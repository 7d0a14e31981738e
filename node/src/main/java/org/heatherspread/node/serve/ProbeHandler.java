package org.heatherspread.node.serve;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.heatherspread.relay.caller.CallerRequest;
import org.heatherspread.relay.caller.CallerRequestHandler;
import org.heatherspread.relay.caller.ResponseWriter;

/** Responds to every request with the readiness of the daemon or with a text. Stateless. */
public final class ProbeHandler implements CallerRequestHandler {
  private final BooleanSupplier ok;
  private final Supplier<String> text;

  private ProbeHandler(BooleanSupplier ok, Supplier<String> text) {
    this.ok = ok;
    this.text = text;
  }

  /** Creates a handler that responds with 200 if the daemon is ready, else with 503. */
  public static ProbeHandler readiness(BooleanSupplier ready) {
    return new ProbeHandler(ready, () -> "");
  }

  /** Creates a handler that responds with 200 and a text, such as the metrics. */
  public static ProbeHandler text(Supplier<String> text) {
    return new ProbeHandler(() -> true, text);
  }

  @Override
  public void handle(CallerRequest request, ResponseWriter responseWriter) {
    responseWriter.send(
        ok.getAsBoolean() ? 200 : 503,
        new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8"),
        text.get().getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public boolean usesBody() {
    return false;
  }
}
