package org.heatherspread.daemon.poison;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.model.Instance;

/** Tells a dead process from a cut network by a new connection. Stateless. */
final class ConnectProbe {
  private ConnectProbe() {}

  /**
   * Completes with true if the endpoint's host refuses the connection, so that the process is gone;
   * with false if it accepts, or nothing comes back in time.
   */
  static CompletableFuture<Boolean> refused(Instance endpoint, Duration timeout) {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    AsynchronousSocketChannel channel;
    try {
      channel = AsynchronousSocketChannel.open();
    } catch (IOException e) {
      return CompletableFuture.completedFuture(false);
    }
    channel.connect(
        new InetSocketAddress(endpoint.host(), endpoint.port()),
        null,
        new CompletionHandler<Void, Void>() {
          @Override
          public void completed(Void done, Void unused) {
            result.complete(false);
          }

          @Override
          public void failed(Throwable failure, Void unused) {
            result.complete(failure instanceof ConnectException);
          }
        });
    return result
        .completeOnTimeout(false, timeout.toMillis(), TimeUnit.MILLISECONDS)
        .whenComplete((refused, failure) -> close(channel));
  }

  private static void close(AsynchronousSocketChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // The channel is of no more use either way.
    }
  }
}
