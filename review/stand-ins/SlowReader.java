import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A client that reads a large answer at the pace of its link while its daemon gets SIGTERM. */
final class SlowReader extends Case {
  private static final int ANSWER_BYTES = 8_000_000;
  private static final long BYTES_PER_SECOND = 1_100_000;
  private static final int CLIENTS = 3;

  public static void main(String[] arguments) {
    new SlowReader().run(arguments[0]);
  }

  @Override
  boolean play() throws Exception {
    platform.put(
        "op",
        "config",
        "{\"version\":3,\"routes\":[{\"name\":\"r\",\"hostname\":\"site.example\",\"prefix\":\"/doc/\","
            + "\"route-kind\":\"idempotent\",\"timeout-ms\":15000,\"target-latency-ms\":1000,"
            + "\"priority\":1,\"service\":\"doc\",\"max-attempts\":1,\"anonymous-access\":true}],"
            + "\"services\":[{\"name\":\"doc\",\"health-check-path\":\"/health\","
            + "\"connection-limit\":200}],"
            + LIMITS
            + "}");
    AtomicInteger run = new AtomicInteger();
    byte[] document = new byte[ANSWER_BYTES];
    Worker worker =
        new Worker(
                platform,
                "w-1",
                "doc",
                "v1",
                (self, request, out) -> {
                  record.line("worker runs %s", request.id());
                  Worker.respond(out, 200, request.id(), "Server-Signature: s\r\n", document);
                  record.line("worker has answered %s in full", request.id());
                  run.incrementAndGet();
                  return true;
                })
            .start();
    Daemon daemon = daemon("d-1");
    daemon.awaitReady();
    Thread.sleep(1_000);
    List<Client.Answer> answers = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      String attempt = "a-" + i;
      Thread thread =
          new Thread(
              () -> {
                try (Client client = new Client(daemon.callers, 65_536)) {
                  client.send(Client.head("GET", "/doc/1", attempt, 15_000, -1, ""));
                  record.line("client sent %s", attempt);
                  Client.Answer answer = client.read(10_000, BYTES_PER_SECOND);
                  record.line(
                      "client got %s: status %d, %d of %d bytes, complete %s %s",
                      attempt,
                      answer.status(),
                      answer.body().length,
                      ANSWER_BYTES,
                      answer.complete(),
                      answer.error());
                  synchronized (answers) {
                    answers.add(answer);
                  }
                } catch (java.io.IOException e) {
                  record.line("client failed: %s", e);
                }
              });
      threads.add(thread);
      thread.start();
      Thread.sleep(200);
    }
    Thread.sleep(400);
    if (trouble) {
      record.line("SIGTERM to the daemon");
      daemon.signal("TERM");
    }
    for (Thread thread : threads) {
      thread.join();
    }
    record.line("daemon alive: %s", daemon.alive());
    worker.stop(true);
    return answers.stream().allMatch(Client.Answer::complete) && answers.size() == CLIENTS;
  }
}
