import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send their next request on a kept channel when it is due, also before the answer. */
final class Pipelined extends Case {
  private static final int CHANNELS = 24;
  private static final long WORK_MILLIS = 60;
  private static final long USUAL_MILLIS = 120;
  private static final double BURST = 2.5;
  private static final long BURST_SECONDS = 10;

  private final AtomicInteger swapped = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();

  public static void main(String[] arguments) {
    new Pipelined().run(arguments[0]);
  }

  @Override
  boolean play() throws Exception {
    platform.put(
        "op",
        "config",
        "{\"version\":3,\"routes\":[{\"name\":\"r\",\"hostname\":\"site.example\",\"prefix\":\"/p/\","
            + "\"route-kind\":\"idempotent\",\"timeout-ms\":5000,\"target-latency-ms\":121,"
            + "\"priority\":1,\"service\":\"p\",\"max-attempts\":1,\"anonymous-access\":true}],"
            + "\"services\":[{\"name\":\"p\",\"health-check-path\":\"/health\","
            + "\"connection-limit\":200}],"
            + LIMITS
            + "}");
    for (int i = 0; i < 2; i++) {
      new Worker(
              platform,
              "w-" + i,
              "p",
              "v1",
              (self, request, out) -> {
                record.line("%s runs %s", self.id, request.id());
                Thread.sleep(WORK_MILLIS);
                Worker.respond(
                    out,
                    200,
                    request.id(),
                    "Server-Signature: s\r\n",
                    ("answer to " + request.id()).getBytes());
                return true;
              })
          .start();
    }
    Daemon daemon = daemon("d-0");
    daemon.awaitReady();
    Thread.sleep(1_500);
    long interval = trouble ? (long) (USUAL_MILLIS / BURST) : USUAL_MILLIS;
    record.line("each of %d channels sends a request every %d ms", CHANNELS, interval);
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CHANNELS; i++) {
      int number = i;
      Thread thread = new Thread(() -> use(daemon, number, interval));
      threads.add(thread);
      thread.start();
      Thread.sleep(7);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    record.line(
        "%d requests sent, %d answered; %d answers belong to another request",
        sent.get(), answered.get(), swapped.get());
    return swapped.get() == 0;
  }

  private void use(Daemon daemon, int number, long interval) {
    ConcurrentLinkedQueue<String> expected = new ConcurrentLinkedQueue<>();
    AtomicBoolean done = new AtomicBoolean();
    try (Client client = new Client(daemon.callers, 0)) {
      Thread reader = new Thread(() -> read(client, expected, done, number));
      reader.start();
      long end = System.nanoTime() + BURST_SECONDS * 1_000_000_000L;
      for (int i = 0; System.nanoTime() < end; i++) {
        String attempt = "a-" + number + "-" + i;
        expected.add(attempt);
        sent.incrementAndGet();
        record.line("channel %d sends %s", number, attempt);
        client.send(Client.head("GET", "/p/x", attempt, 5_000, -1, ""));
        Thread.sleep(interval);
      }
      done.set(true);
      reader.join(20_000);
    } catch (java.io.IOException | InterruptedException e) {
      record.line("channel %d: %s", number, e);
    }
  }

  private void read(
      Client client, ConcurrentLinkedQueue<String> expected, AtomicBoolean done, int number) {
    while (!done.get() || !expected.isEmpty()) {
      if (expected.isEmpty()) {
        pause();
        continue;
      }
      Client.Answer answer = client.read(6_000, 0);
      String attempt = expected.poll();
      if (answer.status() == 0) {
        record.line("channel %d has no answer to %s: %s", number, attempt, answer.error());
        return;
      }
      answered.incrementAndGet();
      String text = answer.text();
      if (answer.status() != 200) {
        record.line("channel %d got %d for %s", number, answer.status(), attempt);
      } else if (text.equals("answer to " + attempt)) {
        record.line("channel %d got 200 for %s", number, attempt);
      } else {
        swapped.incrementAndGet();
        record.line(
            "channel %d: for %s came, as the next answer, the %s with Attempt-Id %s",
            number, attempt, text, answer.header("Attempt-Id"));
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(2);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
