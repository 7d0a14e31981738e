package org.heatherspread.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class ServingConfigTest {
  private static Route route(String host, String prefix) {
    List<TrafficShare> shares = List.of(new TrafficShare("a", 90), new TrafficShare("b", 10));
    return new Route(
        host + prefix, host, prefix, CallKind.IDEMPOTENT, 0, 0, 0, shares, 1, true, false, 0);
  }

  private final ServingConfig config =
      ServingConfig.create(
          3,
          List.of(route("x.example", "/a/"), route("x.example", "/a/b/"), route("y.example", "/")),
          List.of(),
          List.of(),
          ClientLimits.defaults());

  private String routeName(String host, String target) {
    return config.route(host, target).map(Route::name).orElse("none");
  }

  @Test
  void findsRouteWithLongestPrefix() {
    assertThat(routeName("x.example", "/a/b/c")).isEqualTo("x.example/a/b/");
    assertThat(routeName("X.Example:80", "/a/bc?d=/a/b/")).isEqualTo("x.example/a/");
    assertThat(routeName("x.example", "/a")).isEqualTo("none");
    assertThat(routeName("x.example", "/b/")).isEqualTo("none");
    assertThat(routeName("y.example", "/any/thing")).isEqualTo("y.example/");
    assertThat(routeName("z.example", "/a/")).isEqualTo("none");
  }

  @Test
  void splitsTrafficByWeight() {
    Route route = config.route("x.example", "/a/").get();
    assertThat(route.selectService(0.0)).isEqualTo("a");
    assertThat(route.selectService(0.89)).isEqualTo("a");
    assertThat(route.selectService(0.91)).isEqualTo("b");
    assertThat(route.selectService(0.9999999)).isEqualTo("b");
  }
}
