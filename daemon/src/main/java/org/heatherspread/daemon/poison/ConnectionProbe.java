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
 * Distinguishes a dead process from a network partition by opening new connections. When a process
 * dies, its host resets its connections and closes the listening socket in no fixed order, so an
 * accepted connection is followed by another attempt until the timeout. Stateless.
 */
final class ConnectionProbe {
  private static final long RETRY_DELAY_MILLIS = 25;

  private ConnectionProbe() {}

  /**
   * Completes with true if the endpoint's host refuses a connection within the timeout, which means
   * that the process is gone; with false if it still accepts connections at the timeout or does not
   * respond.
   */
  static CompletableFuture<Boolean> isRefused(Instance endpoint, Duration timeout) {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    return isRefusedBefore(endpoint, deadlineNanos);
  }

  private static CompletableFuture<Boolean> isRefusedBefore(Instance endpoint, long deadlineNanos) {
    long remainingNanos = deadlineNanos - System.nanoTime();
    if (remainingNanos <= 0) {
      return CompletableFuture.completedFuture(false);
    }
    return tryConnect(endpoint, Duration.ofNanos(remainingNanos))
        .thenCompose(
            refused ->
                refused
                    ? CompletableFuture.completedFuture(true)
                    : CompletableFuture.supplyAsync(
                            () -> null,
                            CompletableFuture.delayedExecutor(
                                RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS))
                        .thenCompose(unused -> isRefusedBefore(endpoint, deadlineNanos)));
  }

  private static CompletableFuture<Boolean> tryConnect(Instance endpoint, Duration timeout) {
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
      // The result is known; the channel is not used again.
    }
  }
}
