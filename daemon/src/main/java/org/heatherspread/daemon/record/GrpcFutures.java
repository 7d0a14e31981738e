package org.heatherspread.daemon.record;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.ListenableFuture;
import com.google.common.util.concurrent.MoreExecutors;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;

/** Converts the futures of gRPC calls to {@link CompletableFuture}. Stateless. */
final class GrpcFutures {
  private GrpcFutures() {}

  /** Converts the future of a call; any failure becomes a {@link ServingException} of the kind. */
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
                ServingException.of(failureKind, "call to another daemon failed", failure));
          }
        },
        MoreExecutors.directExecutor());
    return result;
  }
}
