package org.heatherspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The daemon as a process. */
class NodeMainTest {
  @TempDir private Path folder;

  /** Found by the soak: such a process stayed, served nobody and was never started again. */
  @Test
  void endsWhereAnAddressIsTaken() throws Exception {
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      StringBuilder settings =
          new StringBuilder("[daemon]\nname = \"a\"\ndomain = \"z\"\n[listen]\n");
      for (String name : List.of("callers", "readiness", "directory", "metrics", "peers")) {
        settings.append(name).append(" = \"127.0.0.1:").append(taken.getLocalPort()).append("\"\n");
      }
      settings.append("[store]\naddress = \"127.0.0.1:1\"\n");
      Path file = Files.writeString(folder.resolve("a.toml"), settings);
      Path log = folder.resolve("a.log");
      Process process =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-cp",
                  System.getProperty("java.class.path"),
                  NodeMain.class.getName(),
                  "--config",
                  file.toString())
              .redirectErrorStream(true)
              .redirectOutput(log.toFile())
              .start();
      try {
        assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(process.exitValue()).isEqualTo(1);
        assertThat(Files.readString(log)).contains("daemon cannot start");
      } finally {
        process.destroyForcibly();
      }
    }
  }
}
