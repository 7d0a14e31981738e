import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Many clients that send bodies within {@code max-body-bytes} at the same time. */
final class LargeBodies extends Case {
  private static final int BODY_BYTES = 4_000_000;
  private static final int USUAL_UPLOADS = 18;
  private static final int BURST_UPLOADS = 45;
  private static final int SMALL_CLIENTS = 30;
  private static final long BYTES_PER_SECOND = 800_000;

  private final Set<String> run = ConcurrentHashMap.newKeySet();
  private final AtomicInteger smallSent = new AtomicInteger();
  private final AtomicInteger smallAnswered = new AtomicInteger();
  private final AtomicInteger smallLost = new AtomicInteger();
  private volatile boolean done;

  public static void main(String[] arguments) {
    new LargeBodies().run(arguments[0]);
  }

  @Override
  boolean play() throws Exception {
    platform.put(
        "op",
        "config",
        "{\"version\":3,\"routes\":[{\"name\":\"r\",\"hostname\":\"site.example\",\"prefix\":\"/doc/\","
            + "\"route-kind\":\"non_idempotent\",\"timeout-ms\":15000,\"target-latency-ms\":1000,"
            + "\"priority\":1,\"service\":\"doc\",\"max-attempts\":1,\"anonymous-access\":true}],"
            + "\"services\":[{\"name\":\"doc\",\"health-check-path\":\"/health\","
            + "\"connection-limit\":200}],"
            + LIMITS
            + "}");
    AtomicInteger large = new AtomicInteger();
    for (int i = 0; i < 4; i++) {
      new Worker(
              platform,
              "w-" + i,
              "doc",
              "v1",
              (self, request, out) -> {
                if (request.body().length > 100) {
                  large.incrementAndGet();
                }
                run.add(request.id());
                record.line("worker %s runs %s, %d bytes", self.id, request.id(), request.body().length);
                Thread.sleep(200);
                Worker.respond(
                    out, 200, request.id(), "Server-Signature: s\r\n", request.id().getBytes());
                return true;
              })
          .start();
    }
    Daemon daemon = daemon("d-1");
    daemon.awaitReady();
    Thread.sleep(1_000);
    List<Thread> small = new ArrayList<>();
    for (int i = 0; i < SMALL_CLIENTS; i++) {
      int number = i;
      Thread thread = new Thread(() -> sendSmall(daemon, number));
      small.add(thread);
      thread.start();
    }
    Thread.sleep(1_000);
    List<Thread> threads = new ArrayList<>();
    AtomicInteger answered = new AtomicInteger();
    for (int i = 0; i < (trouble ? BURST_UPLOADS : USUAL_UPLOADS); i++) {
      String attempt = "large-" + i;
      Thread thread =
          new Thread(
              () -> {
                try (Client client = new Client(daemon.callers, 0)) {
                  client.send(Client.head("POST", "/doc/1", attempt, 15_000, BODY_BYTES, ""));
                  byte[] block = new byte[40_000];
                  for (int sent = 0; sent < BODY_BYTES; sent += block.length) {
                    client.socket.getOutputStream().write(block);
                    Thread.sleep(block.length * 1_000 / BYTES_PER_SECOND);
                  }
                  record.line("client sent %s in full", attempt);
                  Client.Answer answer = client.read(16_000, 0);
                  record.line("client got %s: status %d %s", attempt, answer.status(), answer.error());
                  if (answer.status() > 0) {
                    answered.incrementAndGet();
                  }
                } catch (java.io.IOException | InterruptedException e) {
                  record.line("client of %s: %s", attempt, e);
                }
              });
      threads.add(thread);
      thread.start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
    Thread.sleep(3_000);
    done = true;
    for (Thread thread : small) {
      thread.join();
    }
    record.line("large: %d sent, %d answered, %d run", threads.size(), answered.get(), large.get());
    record.line(
        "small: %d sent, %d answered, %d lost", smallSent.get(), smallAnswered.get(), smallLost.get());
    record.line("daemon alive %s, ready %s", daemon.alive(), daemon.ready());
    return smallLost.get() <= 3;
  }

  private void sendSmall(Daemon daemon, int number) {
    Client client = null;
    for (int i = 0; !done; i++) {
      String attempt = "small-" + number + "-" + i;
      try {
        if (client == null) {
          client = new Client(daemon.callers, 0);
        }
        smallSent.incrementAndGet();
        record.line("client sends %s", attempt);
        client.send(Client.head("POST", "/doc/2", attempt, 2_000, 5, "") + "hello");
        Client.Answer answer = client.read(5_000, 0);
        if (answer.status() > 0) {
          smallAnswered.incrementAndGet();
        }
        record.line("client got %s: status %d %s", attempt, answer.status(), answer.error());
        if (answer.status() == 0) {
          if (run.contains(attempt)) {
            smallLost.incrementAndGet();
          }
          client.close();
          client = null;
        }
        Thread.sleep(20);
      } catch (java.io.IOException | InterruptedException e) {
        record.line("client of %s: %s", attempt, e);
        client = null;
        try {
          Thread.sleep(100);
        } catch (InterruptedException again) {
          return;
        }
      }
    }
  }
}
