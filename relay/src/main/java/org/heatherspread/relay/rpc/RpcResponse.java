package org.heatherspread.relay.rpc;

import io.netty.handler.codec.http.HttpHeaders;

/** The complete response to a call. The body is not copied and must not be modified. */
public record RpcResponse(int status, HttpHeaders headers, byte[] body) {
  /** Returns whether the status is in the range 200 to 299. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
