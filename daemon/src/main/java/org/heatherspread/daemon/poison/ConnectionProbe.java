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

/**
 * Tells a dead process from a cut network by new connections. A host resets the connections of a
 * dying process and closes its listening socket in no fixed order, so a connection that is accepted
 * is tried again until the time is over. Stateless.
 */
final class ConnectionProbe {
  private static final long PAUSE_MILLIS = 25;

  private ConnectionProbe() {}

  /**
   * Completes with true if the endpoint's host refuses a connection within the time, so that the
   * process is gone; with false if it still accepts at the end, or nothing comes back.
   */
  static CompletableFuture<Boolean> isRefused(Instance endpoint, Duration timeout) {
    long end = System.nanoTime() + timeout.toNanos();
    return refusedUntil(endpoint, end);
  }

  private static CompletableFuture<Boolean> refusedUntil(Instance endpoint, long endNanos) {
    long left = endNanos - System.nanoTime();
    if (left <= 0) {
      return CompletableFuture.completedFuture(false);
    }
    return once(endpoint, Duration.ofNanos(left))
        .thenCompose(
            refused ->
                refused
                    ? CompletableFuture.completedFuture(true)
                    : CompletableFuture.supplyAsync(
                            () -> null,
                            CompletableFuture.delayedExecutor(PAUSE_MILLIS, TimeUnit.MILLISECONDS))
                        .thenCompose(unused -> refusedUntil(endpoint, endNanos)));
  }

  private static CompletableFuture<Boolean> once(Instance endpoint, Duration timeout) {
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
