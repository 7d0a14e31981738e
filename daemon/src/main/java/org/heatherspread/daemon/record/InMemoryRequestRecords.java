package org.heatherspread.daemon.record;

import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Request records in the memory of this process, for a deployment with a single daemon and for
 * tests. They are lost when the process ends.
 *
 * <p>Thread-safe. A closed record is removed.
 */
public final class InMemoryRequestRecords implements RequestRecords {
  private final Map<String, Entry> entries = new ConcurrentHashMap<>();

  private InMemoryRequestRecords() {}

  /** Creates an instance without records. */
  public static InMemoryRequestRecords create() {
    return new InMemoryRequestRecords();
  }

  @Override
  public CompletableFuture<RecordHandle> open(RequestDescriptor request) {
    String id = "local-" + UUID.randomUUID();
    Entry entry = new Entry(id, request);
    entries.put(id, entry);
    return CompletableFuture.completedFuture(entry);
  }

  @Override
  public CompletableFuture<Optional<RequestRecord>> find(String requestId) {
    Optional<RequestRecord> found = Optional.ofNullable(entries.get(requestId)).map(Entry::record);
    return CompletableFuture.completedFuture(found);
  }

  @Override
  public CompletableFuture<Optional<TakeoverResult>> takeOver(String requestId) {
    Optional<TakeoverResult> result =
        Optional.ofNullable(entries.get(requestId))
            .map(entry -> new TakeoverResult(entry.record(), entry));
    return CompletableFuture.completedFuture(result);
  }

  /** One record; guarded by its monitor. */
  private final class Entry implements RecordHandle {
    private final String id;
    private final RequestDescriptor request;
    private RecordProgress progress = RecordProgress.none();
    private Optional<RecordOutcome> outcome = Optional.empty();

    Entry(String id, RequestDescriptor request) {
      this.id = id;
      this.request = request;
    }

    @Override
    public String requestId() {
      return id;
    }

    @Override
    public synchronized CompletableFuture<Void> advance(RecordProgress newProgress) {
      progress = newProgress;
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public synchronized void close(RecordOutcome newOutcome) {
      if (outcome.isEmpty()) {
        outcome = Optional.of(newOutcome);
        entries.remove(id);
      }
    }

    @Override
    public CompletableFuture<Void> handOver() {
      return CompletableFuture.completedFuture(null);
    }

    synchronized RequestRecord record() {
      return new RequestRecord(id, request, progress, outcome);
    }
  }
}
