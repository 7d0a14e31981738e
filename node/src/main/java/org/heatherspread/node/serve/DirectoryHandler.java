package org.heatherspread.node.serve;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Locale;
import java.util.function.Function;
import java.util.function.Supplier;
import org.heatherspread.relay.caller.CallerRequest;
import org.heatherspread.relay.caller.CallerRequestHandler;
import org.heatherspread.relay.caller.ResponseWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells callers which daemons to use. Stateless. */
public final class DirectoryHandler implements CallerRequestHandler {
  private static final Logger log = LoggerFactory.getLogger(DirectoryHandler.class);

  private final String path;
  private final Supplier<Collection<String>> addresses;
  private final Function<Collection<String>, byte[]> format;

  private DirectoryHandler(
      String path,
      Supplier<Collection<String>> addresses,
      Function<Collection<String>, byte[]> format) {
    this.path = path;
    this.addresses = addresses;
    this.format = format;
  }

  /** Creates a handler that answers on one path. */
  public static DirectoryHandler create(
      String path,
      Supplier<Collection<String>> addresses,
      Function<Collection<String>, byte[]> format) {
    return new DirectoryHandler(path, addresses, format);
  }

  @Override
  public void handle(CallerRequest request, ResponseWriter answer) {
    int query = request.target().indexOf('?');
    String asked = query < 0 ? request.target() : request.target().substring(0, query);
    if (!asked.toLowerCase(Locale.ROOT).equals(path)) {
      answer.send(404, new DefaultHttpHeaders(), new byte[0]);
      return;
    }
    Collection<String> found = addresses.get();
    if (found.isEmpty()) {
      log.atInfo().addKeyValue("target", request.target()).log("no addresses told");
      answer.send(
          503, new DefaultHttpHeaders(), "no daemon is ready".getBytes(StandardCharsets.UTF_8));
      return;
    }
    answer.send(
        200,
        new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json"),
        format.apply(found));
  }
}
