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

/**
 * Responds to callers with the addresses of the daemons that they may use, or with 503 if there are
 * none. Stateless.
 */
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

  /**
   * Creates a handler.
   *
   * @param path path in lower case; requests match regardless of case and query
   */
  public static DirectoryHandler create(
      String path,
      Supplier<Collection<String>> addresses,
      Function<Collection<String>, byte[]> format) {
    return new DirectoryHandler(path, addresses, format);
  }

  @Override
  public void handle(CallerRequest request, ResponseWriter responseWriter) {
    int query = request.target().indexOf('?');
    String requestedPath = query < 0 ? request.target() : request.target().substring(0, query);
    if (!requestedPath.toLowerCase(Locale.ROOT).equals(path)) {
      responseWriter.send(404, new DefaultHttpHeaders(), new byte[0]);
      return;
    }
    Collection<String> available = addresses.get();
    if (available.isEmpty()) {
      log.atInfo().addKeyValue("target", request.target()).log("no addresses told");
      responseWriter.send(
          503, new DefaultHttpHeaders(), "no daemon is ready".getBytes(StandardCharsets.UTF_8));
      return;
    }
    responseWriter.send(
        200,
        new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json"),
        format.apply(available));
  }

  @Override
  public boolean usesBody() {
    return false;
  }
}
