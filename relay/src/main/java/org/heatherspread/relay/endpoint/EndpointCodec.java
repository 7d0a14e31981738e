package org.heatherspread.relay.endpoint;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Codec of a connection that carries one request at a time. Unlike that of Netty, which accepts any
 * number as a status, it rejects responses whose status is not three digits from 100 to 599: an
 * invalid response must not reach a caller, nor be taken for another one, as 0200 for 200. Confined
 * to the event loop of its connection.
 */
final class EndpointCodec
    extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {
  private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

  /** Method of the request in progress, null before the first one. */
  private HttpMethod method;

  private EndpointCodec() {}

  /** Creates a codec that reads messages up to the given sizes. */
  static EndpointCodec create(int maxLineBytes, int maxHeaderBytes, int maxChunkBytes) {
    EndpointCodec codec = new EndpointCodec();
    codec.init(codec.new Decoder(maxLineBytes, maxHeaderBytes, maxChunkBytes), codec.new Encoder());
    return codec;
  }

  /** Decoder that knows whether the response to the request in progress has a body. */
  private final class Decoder extends HttpResponseDecoder {
    private Decoder(int maxLineBytes, int maxHeaderBytes, int maxChunkBytes) {
      super(maxLineBytes, maxHeaderBytes, maxChunkBytes);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
      if (!STATUS.matcher(initialLine[1]).matches()) {
        throw new IllegalArgumentException("invalid status");
      }
      return super.createMessage(initialLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      boolean isInterim =
          message instanceof HttpResponse response
              && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      return (!isInterim && HttpMethod.HEAD.equals(method)) || super.isContentAlwaysEmpty(message);
    }
  }

  /** Encoder that records the method of each request. */
  private final class Encoder extends HttpRequestEncoder {
    @Override
    protected void encode(ChannelHandlerContext context, Object message, List<Object> out)
        throws Exception {
      if (message instanceof HttpRequest request) {
        method = request.method();
      }
      super.encode(context, message, out);
    }
  }
}
