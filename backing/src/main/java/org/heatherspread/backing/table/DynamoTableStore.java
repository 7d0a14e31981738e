package org.heatherspread.backing.table;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.heatherspread.backing.table.TableAccessListener.Access;
import org.heatherspread.backing.table.TableAccessListener.Outcome;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.store.Condition;
import org.heatherspread.core.store.Row;
import org.heatherspread.core.store.RowKey;
import org.heatherspread.core.store.TableStore;
import org.heatherspread.core.store.WriteResult;
import software.amazon.awssdk.auth.credentials.AnonymousCredentialsProvider;
import software.amazon.awssdk.auth.credentials.AwsBasicCredentials;
import software.amazon.awssdk.auth.credentials.AwsCredentialsProvider;
import software.amazon.awssdk.auth.credentials.StaticCredentialsProvider;
import software.amazon.awssdk.awscore.retry.AwsRetryStrategy;
import software.amazon.awssdk.http.nio.netty.NettyNioAsyncHttpClient;
import software.amazon.awssdk.regions.Region;
import software.amazon.awssdk.services.dynamodb.DynamoDbAsyncClient;
import software.amazon.awssdk.services.dynamodb.model.AttributeValue;
import software.amazon.awssdk.services.dynamodb.model.DeleteItemRequest;
import software.amazon.awssdk.services.dynamodb.model.GetItemRequest;
import software.amazon.awssdk.services.dynamodb.model.PutItemRequest;
import software.amazon.awssdk.services.dynamodb.model.QueryRequest;

/**
 * Accesses the table service over the DynamoDB protocol. Retries of the client library are
 * disabled, so that each call sends a write at most once.
 *
 * <p>Safe for use by any thread. Life cycle: {@link #create}, any number of operations, {@link
 * #close} once.
 */
public final class DynamoTableStore implements TableStore, AutoCloseable {
  private static final String ITEM_ABSENT = "attribute_not_exists(pk)";
  private static final String VERSION_MATCHES = "v = :v";
  private static final String ROWS_AFTER = "pk = :pk AND sk > :sk";
  private static final String ENTIRE_PARTITION = "pk = :pk";

  private final DynamoDbAsyncClient client;
  private final String table;
  private final TableAccessListener listener;

  private DynamoTableStore(DynamoDbAsyncClient client, String table, TableAccessListener listener) {
    this.client = client;
    this.table = table;
    this.listener = listener;
  }

  /** Creates a client; connections are opened on first use. */
  public static DynamoTableStore create(TableSettings settings, TableAccessListener listener) {
    DynamoDbAsyncClient client =
        DynamoDbAsyncClient.builder()
            .endpointOverride(settings.endpoint())
            .region(Region.of(settings.region()))
            .credentialsProvider(credentials(settings))
            .httpClientBuilder(
                NettyNioAsyncHttpClient.builder()
                    .maxConcurrency(settings.maxConnections())
                    .connectionTimeout(settings.connectTimeout())
                    .connectionAcquisitionTimeout(settings.callTimeout())
                    .readTimeout(settings.callTimeout()))
            .overrideConfiguration(
                o ->
                    o.retryStrategy(AwsRetryStrategy.doNotRetry())
                        .apiCallTimeout(settings.callTimeout()))
            .build();
    return new DynamoTableStore(client, settings.table(), listener);
  }

  private static AwsCredentialsProvider credentials(TableSettings settings) {
    if (settings.accessKey().isEmpty()) {
      return AnonymousCredentialsProvider.create();
    }
    return StaticCredentialsProvider.create(
        AwsBasicCredentials.create(settings.accessKey(), settings.secretKey()));
  }

  @Override
  public CompletableFuture<Optional<Row>> get(RowKey key) {
    GetItemRequest request =
        GetItemRequest.builder().tableName(table).key(item(key)).consistentRead(true).build();
    return read(
        Access.GET,
        client
            .getItem(request)
            .thenApply(a -> a.hasItem() ? Optional.of(row(a.item())) : Optional.empty()));
  }

  @Override
  public CompletableFuture<List<Row>> query(String partition, String afterSort, int limit) {
    QueryRequest.Builder request =
        QueryRequest.builder().tableName(table).consistentRead(true).limit(limit);
    if (afterSort.isEmpty()) {
      request
          .keyConditionExpression(ENTIRE_PARTITION)
          .expressionAttributeValues(Map.of(":pk", text(partition)));
    } else {
      request
          .keyConditionExpression(ROWS_AFTER)
          .expressionAttributeValues(Map.of(":pk", text(partition), ":sk", text(afterSort)));
    }
    return read(
        Access.QUERY,
        client
            .query(request.build())
            .thenApply(a -> a.items().stream().map(DynamoTableStore::row).toList()));
  }

  @Override
  public CompletableFuture<WriteResult> put(Row row, Condition condition) {
    PutItemRequest.Builder request = PutItemRequest.builder().tableName(table).item(item(row));
    if (condition instanceof Condition.VersionIs expected) {
      request
          .conditionExpression(VERSION_MATCHES)
          .expressionAttributeValues(Map.of(":v", number(expected.version())));
    } else {
      request.conditionExpression(ITEM_ABSENT);
    }
    return write(Access.PUT, client.putItem(request.build()));
  }

  @Override
  public CompletableFuture<WriteResult> delete(RowKey key, Condition condition) {
    DeleteItemRequest.Builder request = DeleteItemRequest.builder().tableName(table).key(item(key));
    if (condition instanceof Condition.VersionIs expected) {
      request
          .conditionExpression(VERSION_MATCHES)
          .expressionAttributeValues(Map.of(":v", number(expected.version())));
    } else {
      request.conditionExpression(ITEM_ABSENT);
    }
    return write(Access.DELETE, client.deleteItem(request.build()));
  }

  private <T> CompletableFuture<T> read(Access access, CompletableFuture<T> response) {
    long startNanos = System.nanoTime();
    return response.handle(
        (value, thrown) -> {
          report(access, thrown == null ? Outcome.SERVED : Outcome.UNAVAILABLE, startNanos);
          if (thrown == null) {
            return value;
          }
          Throwable cause = StoreFailureClassifier.unwrap(thrown);
          throw failure(ErrorKind.STORE_UNAVAILABLE, access, cause);
        });
  }

  private CompletableFuture<WriteResult> write(Access access, CompletableFuture<?> response) {
    long startNanos = System.nanoTime();
    return response.handle(
        (value, thrown) -> {
          if (thrown == null) {
            report(access, Outcome.SERVED, startNanos);
            return WriteResult.APPLIED;
          }
          Throwable cause = StoreFailureClassifier.unwrap(thrown);
          Outcome outcome = StoreFailureClassifier.classifyWrite(cause);
          report(access, outcome, startNanos);
          return switch (outcome) {
            case SERVED, CONFLICT -> WriteResult.CONFLICT;
            case UNAVAILABLE -> throw failure(ErrorKind.STORE_UNAVAILABLE, access, cause);
            case UNKNOWN -> throw failure(ErrorKind.STORE_OUTCOME_UNKNOWN, access, cause);
          };
        });
  }

  private void report(Access access, Outcome outcome, long startNanos) {
    listener.onAccess(access, outcome, Duration.ofNanos(System.nanoTime() - startNanos));
  }

  private static CompletionException failure(ErrorKind kind, Access access, Throwable cause) {
    String detail = "table service operation " + access + " failed: " + cause.getMessage();
    return new CompletionException(ServingException.of(kind, detail, cause));
  }

  private static Map<String, AttributeValue> item(RowKey key) {
    return Map.of("pk", text(key.partition()), "sk", text(key.sort()));
  }

  private static Map<String, AttributeValue> item(Row row) {
    return Map.of(
        "pk", text(row.key().partition()),
        "sk", text(row.key().sort()),
        "v", number(row.version()),
        "w", text(row.writeId()),
        "b", text(row.body()));
  }

  private static Row row(Map<String, AttributeValue> item) {
    RowKey key = new RowKey(item.get("pk").s(), item.get("sk").s());
    return new Row(key, Long.parseLong(item.get("v").n()), item.get("w").s(), item.get("b").s());
  }

  private static AttributeValue text(String value) {
    return AttributeValue.fromS(value);
  }

  private static AttributeValue number(long value) {
    return AttributeValue.fromN(Long.toString(value));
  }

  @Override
  public void close() {
    client.close();
  }
}
