package org.heatherspread.relay.rpc;

/** The whole answer to a short call. The body is not copied and must not be changed. */
public record RpcResponse(int status, byte[] body) {
  /** Tells whether the call succeeded. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
