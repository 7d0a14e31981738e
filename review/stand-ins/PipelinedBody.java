import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send a request with a body, in parts, while the answer to the one before is due. Not a
 * case of its own: it shows what else the fault of case 1 does.
 */
final class PipelinedBody extends Case {
  private static final int CLIENTS = 10;
  private static final int ROUNDS = 30;
  private static final int PART_BYTES = 1_000;
  private static final int PARTS = 40;

  private final String body = "0123456789".repeat(PARTS * PART_BYTES / 10);
  private final AtomicInteger answered = new AtomicInteger();

  public static void main(String[] arguments) {
    new PipelinedBody().run(arguments[0]);
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
    AtomicInteger changed = new AtomicInteger();
    new Worker(
            platform,
            "w-0",
            "p",
            "v1",
            (self, request, out) -> {
              boolean whole = body.equals(new String(request.body()));
              if (request.method().equals("POST") && !whole) {
                changed.incrementAndGet();
                record.line(
                    "worker runs %s with %d of %d bytes",
                    request.id(), request.body().length, body.length());
              }
              Thread.sleep(20);
              Worker.respond(
                  out, 200, request.id(), "Server-Signature: s\r\n", request.id().getBytes());
              return true;
            })
        .start();
    Daemon daemon = daemon("d-0");
    daemon.awaitReady();
    Thread.sleep(1_500);
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      Thread thread = new Thread(() -> use(daemon, number));
      threads.add(thread);
      thread.start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
    record.line(
        "%d pairs of requests, both answered with 200: %d, bodies changed: %d",
        CLIENTS * ROUNDS, answered.get(), changed.get());
    return changed.get() == 0;
  }

  private void use(Daemon daemon, int number) {
    for (int i = 0; i < ROUNDS; i++) {
      String name = number + "-" + i;
      try (Client client = new Client(daemon.callers, 0)) {
        client.send(Client.head("GET", "/p/x", "get-" + name, 5_000, -1, ""));
        if (!trouble) {
          client.read(3_000, 0);
        }
        client.send(Client.head("POST", "/p/x", "post-" + name, 5_000, body.length(), ""));
        for (int part = 0; part < PARTS; part++) {
          client.send(body.substring(part * PART_BYTES, (part + 1) * PART_BYTES));
          Thread.sleep(1);
        }
        boolean first = !trouble || client.read(3_000, 0).status() == 200;
        boolean second = client.read(3_000, 0).status() == 200;
        if (first && second) {
          answered.incrementAndGet();
        }
      } catch (java.io.IOException | InterruptedException e) {
        record.line("client of %s: %s", name, e);
      }
    }
  }
}
