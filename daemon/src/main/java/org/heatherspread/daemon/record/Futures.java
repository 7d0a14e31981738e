package org.heatherspread.daemon.record;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.ListenableFuture;
import com.google.common.util.concurrent.MoreExecutors;
import java.util.concurrent.CompletableFuture;

/** Turns the futures of gRPC into those of the house. Stateless. */
final class Futures {
  private Futures() {}

  static <T> CompletableFuture<T> of(ListenableFuture<T> source) {
    CompletableFuture<T> result = new CompletableFuture<>();
    com.google.common.util.concurrent.Futures.addCallback(
        source,
        new FutureCallback<T>() {
          @Override
          public void onSuccess(T value) {
            result.complete(value);
          }

          @Override
          public void onFailure(Throwable failure) {
            result.completeExceptionally(failure);
          }
        },
        MoreExecutors.directExecutor());
    return result;
  }
}
