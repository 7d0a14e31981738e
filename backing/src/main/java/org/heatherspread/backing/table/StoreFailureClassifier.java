package org.heatherspread.backing.table;

import java.net.ConnectException;
import java.util.concurrent.CompletionException;
import org.heatherspread.backing.table.TableAccessListener.Outcome;
import software.amazon.awssdk.awscore.exception.AwsServiceException;
import software.amazon.awssdk.services.dynamodb.model.ConditionalCheckFailedException;

/**
 * Determines the possible effect of a failed operation. A write is known to have no effect only if
 * the service reported so or no connection was made; any other failed write may have taken effect.
 *
 * <p>Stateless; safe for use by any thread.
 */
final class StoreFailureClassifier {
  private static final int SERVER_ERROR = 500;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int MAX_CAUSES = 16;

  private StoreFailureClassifier() {}

  static Throwable unwrap(Throwable thrown) {
    boolean wrapped = thrown instanceof CompletionException && thrown.getCause() != null;
    return wrapped ? thrown.getCause() : thrown;
  }

  static Outcome classifyWrite(Throwable cause) {
    if (cause instanceof ConditionalCheckFailedException) {
      return Outcome.CONFLICT;
    }
    if (cause instanceof AwsServiceException serviceError) {
      int status = serviceError.statusCode();
      boolean refused =
          serviceError.isThrottlingException()
              || status < SERVER_ERROR
              || status == SERVICE_UNAVAILABLE;
      return refused ? Outcome.UNAVAILABLE : Outcome.UNKNOWN;
    }
    return isConnectFailure(cause) ? Outcome.UNAVAILABLE : Outcome.UNKNOWN;
  }

  private static boolean isConnectFailure(Throwable thrown) {
    Throwable cause = thrown;
    for (int i = 0; i < MAX_CAUSES && cause != null; i++) {
      if (cause instanceof ConnectException) {
        return true;
      }
      cause = cause.getCause();
    }
    return false;
  }
}
