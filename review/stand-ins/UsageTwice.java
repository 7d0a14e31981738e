import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** The store returns from a copy that lacks a sent usage report, and one daemon is restarted. */
final class UsageTwice extends Case {
  private static final int DAEMONS = 3;
  private static final long WINDOW_MILLIS = 5_000;

  private final Map<Long, String> accepted = new HashMap<>();
  private final AtomicInteger different = new AtomicInteger();
  private final AtomicInteger run = new AtomicInteger();

  public static void main(String[] arguments) {
    new UsageTwice().run(arguments[0]);
  }

  private void onDuty(Platform.DutyCall call) {
    Map<String, Object> body = Json.object(call.body());
    long window = ((Double) body.get("window-number")).longValue();
    String counts = body.get("counts").toString();
    synchronized (accepted) {
      String before = accepted.putIfAbsent(window, counts);
      boolean other = before != null && !before.equals(counts);
      record.line(
          "platform accepts usage of window %d from %s, epoch %s: %s%s",
          window,
          call.holder(),
          call.token(),
          counts,
          other ? "  DIFFERENT from " + before : before == null ? "" : " (repeat)");
      if (other) {
        different.incrementAndGet();
      }
    }
  }

  private boolean isAccepted(long window) {
    synchronized (accepted) {
      return accepted.containsKey(window);
    }
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
                run.incrementAndGet();
                record.line("%s runs %s", self.id, request.id());
                Worker.respond(out, 200, request.id(), "Server-Signature: s\r\n", new byte[800]);
                return true;
              })
          .start();
    }
    platform.dutyListener = this::onDuty;
    for (int i = 0; i < DAEMONS; i++) {
      daemon("d-" + i);
    }
    for (Daemon daemon : daemons) {
      daemon.awaitReady();
    }
    AtomicBoolean done = new AtomicBoolean();
    for (Daemon daemon : daemons) {
      Worker.daemonThread(() -> send(daemon, done));
    }
    Thread.sleep(9_000);
    long now = System.currentTimeMillis();
    long window = now / WINDOW_MILLIS + 1;
    long endMillis = (window + 1) * WINDOW_MILLIS;
    Thread.sleep(endMillis - 2_000 - now);
    Platform.Copy copy = platform.copy();
    record.line("copy of the store taken, 2 s before the end of window %d", window);
    while (!isAccepted(window) && System.currentTimeMillis() < endMillis + 10_000) {
      Thread.sleep(10);
    }
    if (!isAccepted(window)) {
      throw new IllegalStateException("window not reported");
    }
    Daemon restarted = daemons.get(0);
    if (trouble) {
      platform.setAway(true);
      record.line("store is away");
      restarted.kill();
      record.line("%s is killed", restarted.name);
      Thread.sleep(400);
      platform.restore(copy);
      platform.setAway(false);
      record.line("store is back from the copy, with the next Store-Era");
      restarted.start();
      record.line("%s starts again", restarted.name);
    }
    Thread.sleep(endMillis + 14_000 - System.currentTimeMillis());
    done.set(true);
    record.line("requests run: %d; windows with different counts: %d", run.get(), different.get());
    return different.get() == 0;
  }

  private void send(Daemon daemon, AtomicBoolean done) {
    try {
      for (int i = 0; !done.get(); i++) {
        String attempt = "a-" + daemon.name + "-" + System.nanoTime();
        String request =
            Client.head("GET", "/p/x", attempt, 1_500, -1, "Authorization: Bearer key1\r\n");
        record.line("client sends %s", attempt);
        Client.Answer answer = Client.call(daemon.callers, request, 3_000);
        record.line("client got %d for %s", answer.status(), attempt);
        Thread.sleep(50);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
