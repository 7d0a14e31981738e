import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs one case: exit status 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
abstract class Case {
  private static final long LIMIT_MILLIS = 115_000;

  static final String LIMITS =
      "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
          + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}";

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  Record record;
  Platform platform;
  Path folder;
  private Path root;
  final List<Daemon> daemons = new ArrayList<>();

  /** Plays the case and returns whether the rule held. */
  abstract boolean play() throws Exception;

  Daemon daemon(String name) throws Exception {
    return daemon(name, platform.port());
  }

  /** Starts a daemon that reaches the store and the cloud at a port. */
  Daemon daemon(String name, int platformPort) throws Exception {
    Daemon daemon = new Daemon(name, root, folder, platformPort);
    daemons.add(daemon);
    daemon.start();
    return daemon;
  }

  void run(String caseFolder) {
    int status = 2;
    try {
      Path place = Path.of(caseFolder).toAbsolutePath();
      root = place.getParent().getParent();
      record = new Record(place.resolve("record.txt"));
      folder = Files.createTempDirectory("review-");
      Thread main = Thread.currentThread();
      Worker.daemonThread(
          () -> {
            try {
              Thread.sleep(LIMIT_MILLIS);
              record.line("time limit reached");
              main.interrupt();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
      Runtime.getRuntime().addShutdownHook(new Thread(this::end));
      platform = new Platform();
      record.line("trouble: %s", trouble);
      boolean held = play();
      record.line("result: %s", held ? "rule held" : "RULE BROKEN");
      status = held ? 0 : 1;
    } catch (Exception e) {
      if (record != null) {
        record.line("could not run: %s", e);
      }
      e.printStackTrace();
    }
    end();
    System.exit(status);
  }

  private void end() {
    for (Daemon daemon : daemons) {
      try {
        daemon.kill();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (folder != null && System.getenv("KEEP") == null) {
      try (var files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
        Files.delete(folder);
      } catch (java.io.IOException e) {
        // The folder is a temporary one.
      }
    } else if (folder != null) {
      System.err.println("logs in " + folder);
    }
  }
}
