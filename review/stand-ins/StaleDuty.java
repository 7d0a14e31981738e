import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/** The holder of the duties is cut off from the platform while a call of it is on its way. */
final class StaleDuty extends Case {
  private static final int DAEMONS = 3;
  private static final long CUT_MILLIS = 8_000;

  private static final long THAW_SLACK_MILLIS = 300;

  public static void main(String[] arguments) {
    new StaleDuty().run(arguments[0]);
  }

  @Override
  boolean play() throws Exception {
    platform.put(
        "op",
        "config",
        "{\"version\":3,\"routes\":[{\"name\":\"r\",\"hostname\":\"site.example\",\"prefix\":\"/p/\","
            + "\"route-kind\":\"idempotent\",\"timeout-ms\":1500,\"target-latency-ms\":121,"
            + "\"priority\":1,\"service\":\"p\",\"max-attempts\":2,\"anonymous-access\":false}],"
            + "\"services\":[{\"name\":\"p\",\"health-check-path\":\"/health\","
            + "\"connection-limit\":200}],"
            + "\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"key1\"]}],"
            + LIMITS
            + "}");
    for (int i = 0; i < 2; i++) {
      new Worker(
              platform,
              "w-" + i,
              "p",
              "v1",
              (self, request, out) -> {
                Worker.respond(out, 200, request.id(), "Server-Signature: s\r\n", new byte[800]);
                return true;
              })
          .start();
    }
    AtomicReference<String> holder = new AtomicReference<>("");
    AtomicLong healed = new AtomicLong();
    Map<String, Long> highest = new HashMap<>();
    AtomicLong stale = new AtomicLong();
    platform.dutyListener =
        call -> {
          long token = Long.parseLong(call.token());
          synchronized (highest) {
            long before = highest.getOrDefault(call.path(), 0L);
            boolean lower = token < before;
            long sinceHeal = healed.get() == 0 ? -1 : System.currentTimeMillis() - healed.get();
            record.line(
                "platform gets %s of %s, epoch %d%s: %s",
                call.path(),
                call.holder(),
                token,
                lower
                    ? ", LOWER than " + before + ", " + sinceHeal + " ms after the link healed"
                    : "",
                call.body());
            if (lower && sinceHeal > THAW_SLACK_MILLIS) {
              stale.incrementAndGet();
            }
            highest.merge(call.path(), token, Math::max);
          }
          holder.set(call.holder());
        };
    Map<String, Link> links = new HashMap<>();
    for (int i = 0; i < DAEMONS; i++) {
      Link link = new Link(platform.port());
      links.put("d-" + i, link);
      daemon("d-" + i, link.port());
    }
    for (Daemon daemon : daemons) {
      daemon.awaitReady();
    }
    long end = System.currentTimeMillis() + 30_000;
    while (platform.dutyCalls.size() < 2 && System.currentTimeMillis() < end) {
      int number = platform.dutyCalls.size();
      for (Daemon daemon : daemons) {
        Client.call(
            daemon.callers,
            Client.head(
                "GET",
                "/p/x",
                "a-" + daemon.name + "-" + number + "-" + System.nanoTime(),
                1_500,
                -1,
                "Authorization: Bearer key1\r\n"),
            3_000);
      }
      Thread.sleep(100);
    }
    if (holder.get().isEmpty()) {
      throw new IllegalStateException("no duty was performed");
    }
    String name = holder.get();
    record.line("%s holds the duties", name);
    Link link = links.get(name);
    AtomicLong cutMillis = new AtomicLong();
    if (trouble) {
      link.onNext(
          text -> text.startsWith("POST /usage") || text.startsWith("POST /scaling"),
          () -> {
            link.cut();
            record.line("%s is cut off from the platform while its call is on its way", name);
            cutMillis.set(System.currentTimeMillis());
          });
      while (cutMillis.get() == 0) {
        Thread.sleep(5);
      }
      Thread.sleep(CUT_MILLIS);
      healed.set(System.currentTimeMillis());
      link.heal();
      record.line("the link of %s has healed", name);
    }
    Thread.sleep(12_000);
    record.line("stale calls: %d", stale.get());
    return stale.get() == 0;
  }
}
