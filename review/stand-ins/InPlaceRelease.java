import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Workers are replaced in place by a new version of their software while the store is down. */
final class InPlaceRelease extends Case {
  private static final int STREAMS = 16;
  private static final int EVENTS = 70;

  public static void main(String[] arguments) {
    new InPlaceRelease().run(arguments[0]);
  }

  private boolean stream(Worker self, Worker.Request request, java.io.OutputStream out)
      throws java.io.IOException, InterruptedException {
    String last = request.header("Last-Event-Id");
    String version = self.version;
    int first = last.isEmpty() ? 0 : Integer.parseInt(last) + 1;
    record.line("worker %s (%s) runs %s from event %d", self.id, version, request.id(), first);
    out.write(
        ("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: s-%s\r\n"
                    .formatted(request.id(), self.id)
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes());
    for (int i = first; i < EVENTS; i++) {
      String event = "id: %d\n: %s\ndata: t%d\n\n".formatted(i, version, i);
      out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
      out.flush();
      Thread.sleep(100);
    }
    out.write("0\r\n\r\n".getBytes());
    return true;
  }

  @Override
  boolean play() throws Exception {
    platform.put(
        "op",
        "config",
        "{\"version\":3,\"routes\":[{\"name\":\"r\",\"hostname\":\"site.example\",\"prefix\":\"/m/\","
            + "\"route-kind\":\"streaming\",\"timeout-ms\":15000,\"target-latency-ms\":600,"
            + "\"priority\":1,\"service\":\"m\",\"max-attempts\":2,\"anonymous-access\":true,"
            + "\"session-affinity\":true,\"stream-resumption\":true,\"token-gap-ms\":400}],"
            + "\"services\":[{\"name\":\"m\",\"health-check-path\":\"/health\","
            + "\"connection-limit\":200}],"
            + LIMITS
            + "}");
    Worker first = new Worker(platform, "w-0", "m", "v1", this::stream).start();
    Worker second = new Worker(platform, "w-1", "m", "v1", this::stream).start();
    for (int i = 0; i < 2; i++) {
      daemon("d-" + i);
    }
    for (Daemon daemon : daemons) {
      daemon.awaitReady();
    }
    Thread.sleep(2_000);
    List<Thread> threads = new ArrayList<>();
    List<String> mixed = java.util.Collections.synchronizedList(new ArrayList<>());
    for (int i = 0; i < STREAMS; i++) {
      String attempt = "a-" + i;
      Daemon daemon = daemons.get(i % 2);
      String more =
          "Model-Name: m\r\nToken-Counts: 200,350\r\nPrompt-Prefix: %x:100,%x:100\r\n"
              .formatted(160 + i % 8, 4096 + i);
      Thread thread =
          new Thread(
              () -> {
                Client.Answer answer =
                    Client.call(
                        daemon.callers,
                        Client.head("POST", "/m/x", attempt, 15_000, 2, more) + "hi",
                        14_000);
                Set<String> versions = new TreeSet<>();
                int events = 0;
                for (String line : answer.text().split("\n")) {
                  if (line.startsWith(": ")) {
                    versions.add(line.substring(2));
                    events++;
                  }
                }
                record.line(
                    "client got %s: status %d, %d events of versions %s, complete %s",
                    attempt, answer.status(), events, versions, answer.complete());
                if (versions.size() > 1) {
                  mixed.add(attempt);
                }
              });
      threads.add(thread);
      thread.start();
      Thread.sleep(30);
    }
    Thread.sleep(1_000);
    if (trouble) {
      platform.setAway(true);
      record.line("store is down");
    }
    Thread.sleep(300);
    first.stop(false);
    record.line("w-0 ends");
    Thread.sleep(1_000);
    first.restart("v2");
    record.line("w-0 is back with version v2");
    Thread.sleep(1_500);
    second.stop(false);
    record.line("w-1 ends");
    Thread.sleep(1_000);
    second.restart("v2");
    record.line("w-1 is back with version v2");
    Thread.sleep(500);
    if (trouble) {
      platform.setAway(false);
      record.line("store is back");
    }
    for (Thread thread : threads) {
      thread.join();
    }
    record.line("streams with events of two versions: %d", mixed.size());
    return mixed.size() <= 2;
  }
}
