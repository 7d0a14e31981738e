package org.heatherspread.relay.rpc;

/** The whole answer to a short call. The body is not copied and must not be changed. */
public record RpcReply(int status, byte[] body) {
  /** Tells whether the call succeeded. */
  public boolean ok() {
    return status >= 200 && status < 300;
  }
}
