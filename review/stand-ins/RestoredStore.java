import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker leaves; later the store returns from a copy in which the worker is still ready. */
final class RestoredStore extends Case {
  private static final long DRAIN_MILLIS = 2_000;
  private static final int CLIENTS = 12;

  private final Map<String, String> machineOf = new ConcurrentHashMap<>();
  private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();

  /** Time at which each machine first passed on an answer that says that w-0 leaves. */
  private final Map<String, Long> noticeMillis = new ConcurrentHashMap<>();

  private final AtomicInteger late = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicBoolean leaving = new AtomicBoolean();
  private final AtomicBoolean done = new AtomicBoolean();

  public static void main(String[] arguments) {
    new RestoredStore().run(arguments[0]);
  }

  private boolean answer(Worker self, Worker.Request request, java.io.OutputStream out)
      throws java.io.IOException, InterruptedException {
    boolean leaves = leaving.get() && self.id.equals("w-0");
    if (leaves) {
      String machine = machineOf.get(request.id());
      Long notice = noticeMillis.get(machine);
      Long sent = sentMillis.get(request.id());
      boolean tooLate = notice != null && sent > notice + DRAIN_MILLIS;
      record.line(
          "worker w-0 runs %s from %s, sent %s ms after the first notice there%s",
          request.id(), machine, notice == null ? "-" : sent - notice, tooLate ? "  TOO LATE" : "");
      if (tooLate) {
        late.incrementAndGet();
      }
    }
    if (!leaves) {
      record.line("worker %s runs %s", self.id, request.id());
    }
    Thread.sleep(1_000);
    boolean says = leaving.get() && self.id.equals("w-0");
    Worker.respond(
        out,
        200,
        request.id(),
        "Server-Signature: " + self.id + "\r\n" + (says ? "Server-Leaving: 1\r\n" : ""),
        self.id.getBytes());
    return true;
  }

  private void sendUntilDone(Daemon daemon, int number) {
    for (int i = 0; !done.get(); i++) {
      String attempt = "a-" + number + "-" + i;
      machineOf.put(attempt, daemon.name);
      sentMillis.put(attempt, System.currentTimeMillis());
      record.line("client sends %s to %s", attempt, daemon.name);
      Client.Answer answer =
          Client.call(daemon.callers, Client.head("POST", "/pay/1", attempt, 1_500, 2, "") + "hi", 3_000);
      if (!answer.header("Server-Leaving").isEmpty()) {
        if (noticeMillis.putIfAbsent(daemon.name, System.currentTimeMillis()) == null) {
          record.line("%s passes on the first answer with Server-Leaving, of %s", daemon.name, attempt);
        }
      }
      record.line("client got %s: status %d %s", attempt, answer.status(), answer.error());
      if (answer.status() != 200) {
        lost.incrementAndGet();
      }
    }
  }

  @Override
  boolean play() throws Exception {
    platform.put(
        "op",
        "config",
        "{\"version\":3,\"routes\":[{\"name\":\"r\",\"hostname\":\"site.example\",\"prefix\":\"/pay/\","
            + "\"route-kind\":\"non_idempotent\",\"timeout-ms\":1500,\"target-latency-ms\":400,"
            + "\"priority\":1,\"service\":\"pay\",\"max-attempts\":1,\"anonymous-access\":true}],"
            + "\"services\":[{\"name\":\"pay\",\"health-check-path\":\"/health\","
            + "\"connection-limit\":200}],"
            + LIMITS
            + "}");
    Worker leaver = new Worker(platform, "w-0", "pay", "v1", this::answer).start();
    for (int i = 1; i < 3; i++) {
      new Worker(platform, "w-" + i, "pay", "v1", this::answer).start();
    }
    for (int i = 0; i < 2; i++) {
      daemon("d-" + i);
    }
    for (Daemon daemon : daemons) {
      daemon.awaitReady();
    }
    Thread.sleep(2_000);
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      Worker.daemonThread(() -> sendUntilDone(daemons.get(number % 2), number));
    }
    Thread.sleep(5_000);
    Platform.Copy copy = platform.copy();
    record.line("copy of the store taken");
    Thread.sleep(500);
    leaving.set(true);
    leaver.removeEntry();
    record.line("w-0 leaves: its entry is removed, its answers say Server-Leaving");
    Thread.sleep(3_000);
    if (trouble) {
      platform.setAway(true);
      record.line("store is away");
      Thread.sleep(400);
      platform.restore(copy);
      platform.setAway(false);
      record.line("store is back from the copy, with the next Store-Era");
    } else {
      Thread.sleep(400);
    }
    Thread.sleep(1_200);
    leaver.stop(false);
    record.line("w-0 has ended");
    Thread.sleep(400);
    if (trouble) {
      platform.delete("servers", "w-0");
      record.line("the removal of the entry of w-0 is written again");
    }
    Thread.sleep(1_500);
    done.set(true);
    Thread.sleep(500);
    record.line("requests too late at w-0: %d; requests without success: %d", late.get(), lost.get());
    return late.get() == 0;
  }
}
