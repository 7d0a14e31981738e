package org.heatherspread.standin;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.time.Duration;
import org.heatherspread.backing.cloud.CloudApi;
import org.heatherspread.backing.cloud.HttpCloudApi;
import org.heatherspread.backing.instances.HttpInstanceListClient;
import org.heatherspread.backing.instances.InstanceListSnapshot;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.core.model.InstanceState;
import org.heatherspread.core.model.Market;
import org.heatherspread.standin.cloud.CloudSettings;
import org.heatherspread.standin.cloud.CloudStandin;
import org.heatherspread.standin.http.StandinServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CloudStandinTest {
  private static final String INSTANCE =
      """
      {"id":"%s","incarnation":1,"kind":"engine","service":"assistant","region":"marmara",
       "domain":"%s","host":"127.0.0.1","port":9,"peer_port":0,"machine_class":"gpu-small",
       "market":"%s","price_per_hour":1.5,"state":"live"}
      """;

  private StandinServer server;
  private StandinClient client;

  @BeforeEach
  void start() throws Exception {
    server =
        StandinServer.start(
            "127.0.0.1", 0, s -> CloudStandin.create(s, new CloudSettings(0, 0, 1)));
    client = new StandinClient(server.port());
    client.sendJson(
        "POST",
        "/standin/instances",
        "{\"instances\":["
            + INSTANCE.formatted("a", "kadikoy", "reclaimable")
            + ","
            + INSTANCE.formatted("b", "kadikoy", "on_demand")
            + ","
            + INSTANCE.formatted("c", "bursa", "reclaimable")
            + "]}");
  }

  @AfterEach
  void stop() {
    server.close();
  }

  @Test
  void reclaimOfDomainAffectsOnlyItsReclaimableInstances() throws Exception {
    JsonNode reclaimed =
        client.sendJson("POST", "/standin/reclaim", "{\"domain\":\"kadikoy\",\"notice_ms\":60000}");
    assertThat(reclaimed.path("instances").toString()).isEqualTo("[\"a\"]");
    JsonNode notices = client.sendJson("GET", "/v1/notices?after=0", "");
    assertThat(notices.at("/notices/0/instance_id").asText()).isEqualTo("a");
    assertThat(notices.path("next").asInt()).isEqualTo(1);
    JsonNode list = client.sendJson("GET", "/v1/instances", "");
    assertThat(list.at("/instances/0/state").asText()).isEqualTo("leaving");
    assertThat(list.at("/instances/0/leaving_at")).isEqualTo(reclaimed.path("ends_at"));
    assertThat(list.at("/instances/1").has("leaving_at")).isFalse();
  }

  @Test
  void platformClientsReadInstancesOffersAndNotices() throws Exception {
    client.sendJson(
        "POST",
        "/standin/offers",
        """
        {"offers":[{"machine_class":"gpu-small","market":"reclaimable","region":"marmara",
         "domain":"bursa","price_per_hour":0.4}]}
        """);
    CloudApi cloud = HttpCloudApi.create(URI.create(client.baseUrl()), Duration.ofSeconds(10));
    FailureDomain bursa = new FailureDomain("marmara", "bursa");
    assertThat(cloud.offers().join())
        .containsExactly(new CloudApi.Offer("gpu-small", Market.RECLAIMABLE, bursa, 0.4));
    CloudApi.StartRequest startOrder =
        new CloudApi.StartRequest(
            InstanceKind.ENGINE, "assistant", "gpu-small", Market.RECLAIMABLE, bursa, "t");
    assertThat(cloud.start(startOrder).join().refusal()).isEqualTo("no_capacity_in_domain");
    client.sendJson("POST", "/standin/reclaim", "{\"instance_ids\":[\"c\"],\"notice_ms\":60000}");
    assertThat(cloud.notices(0).join())
        .extracting(CloudApi.Notice::instanceId)
        .containsExactly("c");
    assertThat(cloud.notices(1).join()).isEmpty();
    InstanceListSnapshot listing =
        HttpInstanceListClient.create(URI.create(client.baseUrl()), Duration.ofSeconds(10))
            .fetch()
            .join();
    assertThat(listing.instances())
        .extracting(i -> i.state())
        .containsExactly(InstanceState.LIVE, InstanceState.LIVE, InstanceState.LEAVING);
    cloud.delete("nobody").join();
  }

  @Test
  void startIsRejectedWithoutCapacityAndIdempotentByToken() throws Exception {
    String request =
        """
        {"kind":"engine","service":"assistant","machine_class":"gpu-small","market":"reclaimable",
         "region":"marmara","domain":"bursa","client_token":"t1"}
        """;
    assertThat(client.send("POST", "/v1/instances", request).statusCode()).isEqualTo(409);
    client.sendJson(
        "POST",
        "/standin/pool",
        "{\"instances\":[" + INSTANCE.formatted("d", "bursa", "reclaimable") + "]}");
    assertThat(client.send("POST", "/v1/instances", request).statusCode()).isEqualTo(201);
    assertThat(client.sendJson("POST", "/v1/instances", request).path("id").asText())
        .isEqualTo("d");
    assertThat(client.sendJson("GET", "/v1/instances", "").path("instances")).hasSize(4);
  }
}
