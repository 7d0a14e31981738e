package org.heatherspread.daemon.record;

import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Records kept in this process alone, for a deployment of one daemon and for tests: they do not
 * survive the process.
 *
 * <p>Safe for use by any thread.
 */
public final class InMemoryRequestRecords implements RequestRecords {
  private final Map<String, Entry> entries = new ConcurrentHashMap<>();

  private InMemoryRequestRecords() {}

  /** Creates an empty set of records. */
  public static InMemoryRequestRecords create() {
    return new InMemoryRequestRecords();
  }

  @Override
  public CompletableFuture<RecordHandle> open(RequestDescriptor draft) {
    String id = "local-" + UUID.randomUUID();
    Entry entry = new Entry(id, draft);
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
    Optional<TakeoverResult> taken =
        Optional.ofNullable(entries.get(requestId)).map(e -> new TakeoverResult(e.record(), e));
    return CompletableFuture.completedFuture(taken);
  }

  /** One record; guarded by its own monitor. */
  private final class Entry implements RecordHandle {
    private final String id;
    private final RequestDescriptor draft;
    private RecordProgress progress = RecordProgress.none();
    private Optional<RecordOutcome> outcome = Optional.empty();

    Entry(String id, RequestDescriptor draft) {
      this.id = id;
      this.draft = draft;
    }

    @Override
    public String requestId() {
      return id;
    }

    @Override
    public synchronized CompletableFuture<Void> advance(RecordProgress next) {
      progress = next;
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public synchronized void close(RecordOutcome end) {
      if (outcome.isEmpty()) {
        outcome = Optional.of(end);
        entries.remove(id);
      }
    }

    @Override
    public CompletableFuture<Void> handOver() {
      return CompletableFuture.completedFuture(null);
    }

    synchronized RequestRecord record() {
      return new RequestRecord(id, draft, progress, outcome);
    }
  }
}
