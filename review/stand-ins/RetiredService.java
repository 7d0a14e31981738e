import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A model service of which a caller left a stream is retired. */
final class RetiredService extends Case {
  private static final int DAEMONS = 3;
  private static final int QUIET_SECONDS = 48;
  private static final int MEASURED_SECONDS = 10;

  /** Share of a core above which an idle daemon does not hand back the processor. */
  private static final double BUSY_SHARE = 0.6;

  private static final String PLAIN_ROUTE =
      "{\"name\":\"r-plain\",\"hostname\":\"site.example\",\"prefix\":\"/plain/\","
          + "\"route-kind\":\"idempotent\",\"timeout-ms\":1500,\"target-latency-ms\":121,"
          + "\"priority\":1,\"service\":\"plain\",\"max-attempts\":2,\"anonymous-access\":true}";

  private static final String OLD_ROUTE =
      "{\"name\":\"r-old\",\"hostname\":\"site.example\",\"prefix\":\"/old/\","
          + "\"route-kind\":\"streaming\",\"timeout-ms\":15000,\"target-latency-ms\":1000,"
          + "\"priority\":1,\"service\":\"old\",\"max-attempts\":2,\"anonymous-access\":true,"
          + "\"session-affinity\":true,\"stream-resumption\":true,\"token-gap-ms\":400}";

  public static void main(String[] arguments) {
    new RetiredService().run(arguments[0]);
  }

  private static String service(String name) {
    return "{\"name\":\"%s\",\"health-check-path\":\"/health\",\"connection-limit\":200}"
        .formatted(name);
  }

  private static String config(int version, String routes, String services) {
    return "{\"version\":%d,\"routes\":[%s],\"services\":[%s],%s}"
        .formatted(version, routes, services, LIMITS);
  }

  /** Writes a stream of events, one each 200 ms. */
  private boolean stream(Worker self, Worker.Request request, java.io.OutputStream out)
      throws java.io.IOException, InterruptedException {
    record.line("worker %s runs %s", self.id, request.id());
    out.write(
        ("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: s-%s\r\n"
                    .formatted(request.id(), self.id)
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes());
    for (int i = 0; i < 15; i++) {
      String event = "id: %d\ndata: t%d\n\n".formatted(i, i);
      out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
      out.flush();
      Thread.sleep(200);
    }
    out.write("0\r\n\r\n".getBytes());
    return true;
  }

  private void startAndLeave(Daemon daemon) throws java.io.IOException {
    String attempt = "old-" + daemon.name;
    try (Client client = new Client(daemon.callers, 0)) {
      String more = "Model-Name: m\r\nToken-Counts: 100,20\r\nPrompt-Prefix: a1:50,b%s:50\r\n";
      client.send(
          Client.head("POST", "/old/x", attempt, 14_000, 2, more.formatted(daemon.callers)) + "hi");
      String line = Worker.line(client.in);
      while (line != null && !line.startsWith("data: t3")) {
        line = Worker.line(client.in);
      }
      record.line("client of %s at %s got events up to 3 and leaves", attempt, daemon.name);
    }
  }

  @Override
  boolean play() throws Exception {
    platform.put(
        "op",
        "config",
        config(3, OLD_ROUTE + "," + PLAIN_ROUTE, service("old") + "," + service("plain")));
    List<Worker> old = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      old.add(new Worker(platform, "old-" + i, "old", "v1", this::stream).start());
      new Worker(
              platform,
              "plain-" + i,
              "plain",
              "v1",
              (self, request, out) -> {
                Thread.sleep(21);
                Worker.respond(out, 200, request.id(), "Server-Signature: s\r\n", new byte[800]);
                return true;
              })
          .start();
    }
    for (int i = 0; i < DAEMONS; i++) {
      daemon("d-" + i);
    }
    for (Daemon daemon : daemons) {
      daemon.awaitReady();
    }
    Thread.sleep(1_500);
    for (Daemon daemon : daemons) {
      startAndLeave(daemon);
    }
    if (trouble) {
      Thread.sleep(2_000);
      platform.put("op", "config", config(4, PLAIN_ROUTE, service("plain")));
      record.line("manifest 4 has neither the route nor the service old; its workers drain");
      for (Worker worker : old) {
        worker.setState("draining");
      }
      Thread.sleep(3_000);
      for (Worker worker : old) {
        worker.stop(true);
      }
      record.line("the workers of old have left");
    }
    Thread.sleep(QUIET_SECONDS * 1_000L - (trouble ? 5_000 : 0));
    String[] reports = new String[DAEMONS];
    long[] processor = new long[DAEMONS];
    long[] logged = new long[DAEMONS];
    for (int i = 0; i < DAEMONS; i++) {
      reports[i] = report(daemons.get(i));
      processor[i] = daemons.get(i).cpuMillis();
      logged[i] = daemons.get(i).logBytes();
    }
    Thread.sleep(MEASURED_SECONDS * 1_000L);
    int busy = 0;
    int silent = 0;
    for (int i = 0; i < DAEMONS; i++) {
      Daemon daemon = daemons.get(i);
      double share = (daemon.cpuMillis() - processor[i]) / (MEASURED_SECONDS * 1_000.0);
      boolean reported = !report(daemon).equals(reports[i]);
      record.line(
          "%s in %d s without a request: %.2f of a core, %d bytes of log, report written: %s",
          daemon.name, MEASURED_SECONDS, share, daemon.logBytes() - logged[i], reported);
      busy += share > BUSY_SHARE ? 1 : 0;
      silent += reported ? 0 : 1;
    }
    AtomicInteger answered = new AtomicInteger();
    for (int i = 0; i < 30; i++) {
      Client.Answer answer =
          Client.call(
              daemons.get(i % DAEMONS).callers,
              Client.head("GET", "/plain/x", "p-" + i, 1_500, -1, ""),
              3_000);
      answered.addAndGet(answer.status() == 200 ? 1 : 0);
    }
    record.line("lookups: 30 sent, %d answered with 200", answered.get());
    record.line("busy daemons: %d; daemons that no longer write to the store: %d", busy, silent);
    return busy == 0 && silent == 0;
  }

  /** Returns the last report that a daemon has written to the store, whatever it holds. */
  private String report(Daemon daemon) {
    return platform.valuesOf("daemons", daemon.name + "/");
  }
}
