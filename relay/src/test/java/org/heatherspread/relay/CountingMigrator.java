package org.heatherspread.relay;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.heatherspread.core.engine.StreamMigrator;
import org.heatherspread.core.serving.HostPort;

/** Counts the migrations that are requested, and carries out none. Thread-safe. */
public final class CountingMigrator implements StreamMigrator {
  private final AtomicInteger migrations = new AtomicInteger();

  /** Returns the number of migrations that were requested. */
  public int migrations() {
    return migrations.get();
  }

  @Override
  public CompletableFuture<Optional<String>> migrate(HostPort from, String requestId, HostPort to) {
    migrations.incrementAndGet();
    return CompletableFuture.completedFuture(Optional.empty());
  }

  @Override
  public void discardCopy(HostPort from, String copy) {}
}
