package org.heatherspread.daemon.record;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.ListenableFuture;
import com.google.common.util.concurrent.MoreExecutors;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;

/** Turns the futures of gRPC into those of the house. Stateless. */
final class GrpcFutures {
  private GrpcFutures() {}

  /** A call of another daemon that fails in any way fails with the kind given. */
  static <T> CompletableFuture<T> toCompletableFuture(
      ListenableFuture<T> source, ErrorKind failureKind) {
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
            result.completeExceptionally(
                ServingException.of(failureKind, "another daemon did not answer", failure));
          }
        },
        MoreExecutors.directExecutor());
    return result;
  }
}
