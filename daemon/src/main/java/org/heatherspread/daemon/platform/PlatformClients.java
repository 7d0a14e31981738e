package org.heatherspread.daemon.platform;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.backing.cloud.CloudApi;
import org.heatherspread.backing.cloud.HttpCloudApi;
import org.heatherspread.backing.instances.HttpInstanceListClient;
import org.heatherspread.backing.instances.InstanceListClient;
import org.heatherspread.backing.table.DynamoTableStore;
import org.heatherspread.backing.table.TableAccessListener.Access;
import org.heatherspread.backing.table.TableAccessListener.Outcome;
import org.heatherspread.backing.table.TableSettings;
import org.heatherspread.core.store.TableStore;
import org.heatherspread.daemon.membership.PlatformReader;
import org.heatherspread.daemon.settings.PlatformSettings;

/**
 * Holds one daemon's clients of the platform's services, and counts accesses to the table service
 * by kind and outcome.
 *
 * <p>Safe for use by any thread.
 */
public final class PlatformClients implements PlatformReader, AutoCloseable {
  private static final int MAX_CONNECTIONS = 16;

  private final DynamoTableStore store;
  private final InstanceListClient instances;
  private final CloudApi cloud;

  private PlatformClients(DynamoTableStore store, InstanceListClient instances, CloudApi cloud) {
    this.store = store;
    this.instances = instances;
    this.cloud = cloud;
  }

  /** Creates the clients; connections are opened on first use. */
  public static PlatformClients create(PlatformSettings settings, MeterRegistry meters) {
    Duration connectTimeout = settings.timeout().dividedBy(2);
    TableSettings table =
        new TableSettings(
            settings.tableUrl(),
            settings.tableRegion(),
            settings.tableName(),
            settings.accessKey(),
            settings.secretKey(),
            connectTimeout,
            settings.timeout(),
            MAX_CONNECTIONS);
    DynamoTableStore store =
        DynamoTableStore.create(
            table, (access, outcome, elapsed) -> counter(meters, access, outcome).increment());
    return new PlatformClients(
        store,
        HttpInstanceListClient.create(settings.instanceListUrl(), settings.timeout()),
        HttpCloudApi.create(settings.cloudUrl(), settings.timeout()));
  }

  private static Counter counter(MeterRegistry meters, Access access, Outcome outcome) {
    return Counter.builder("heatherspread.store.accesses")
        .description("Accesses to the table service, by kind and outcome")
        .tag("access", access.name().toLowerCase(Locale.ROOT))
        .tag("outcome", outcome.name().toLowerCase(Locale.ROOT))
        .register(meters);
  }

  /** Returns the table service. */
  public TableStore store() {
    return store;
  }

  /** Returns the cloud API. */
  public CloudApi cloud() {
    return cloud;
  }

  @Override
  public CompletableFuture<InstanceList> readInstances() {
    return instances
        .fetch()
        .thenApply(list -> new InstanceList(list.asOfMillis(), list.instances()));
  }

  @Override
  public CompletableFuture<NoticePage> readNotices(long sequence) {
    return cloud
        .notices(sequence)
        .thenApply(
            notices -> {
              long next = sequence;
              for (CloudApi.Notice notice : notices) {
                next = Math.max(next, notice.seq());
              }
              return new NoticePage(
                  notices.stream().map(n -> new Notice(n.instanceId(), n.endsAt())).toList(), next);
            });
  }

  @Override
  public void close() {
    store.close();
  }
}
