package org.heatherspread.node;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Enumeration;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.stream.Stream;
import org.heatherspread.node.settings.NodeSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts a daemon on loopback without a store, sends it requests and loads every class of the
 * project, so that a build can create a class-data archive that shortens later starts. Used by one
 * thread.
 */
final class Rehearsal {
  private static final Logger log = LoggerFactory.getLogger(Rehearsal.class);
  private static final String PROJECT_JAR_PREFIX = "heatherspread";
  private static final int REQUESTS_PER_ADDRESS = 20;

  private Rehearsal() {}

  static void run() throws IOException, InterruptedException {
    NodeSettings settings = NodeSettings.parse("rehearsal", createSettings());
    Node.create(settings).start();
    for (int i = 0; i < REQUESTS_PER_ADDRESS; i++) {
      sendGet(settings.callers().toString());
      sendGet(settings.readiness().toString());
      sendGet(settings.directory().toString());
    }
    sendGet(settings.metrics().toString());
    sendGet(settings.peers().toString());
    log.atInfo().addKeyValue("classes", loadProjectClasses()).log("rehearsal done");
  }

  private static String createSettings() throws IOException {
    StringBuilder text = new StringBuilder("[daemon]\nname = \"a\"\ndomain = \"z\"\n[listen]\n");
    for (String name : List.of("callers", "readiness", "directory", "metrics", "peers")) {
      text.append(name).append(" = \"127.0.0.1:").append(freePort()).append("\"\n");
    }
    String unusedAddress = "address = \"127.0.0.1:" + freePort() + "\"\n";
    return text + "[store]\n" + unusedAddress + "[cloud]\n" + unusedAddress;
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private static void sendGet(String address) throws IOException {
    HttpURLConnection connection =
        (HttpURLConnection) URI.create("http://" + address + "/").toURL().openConnection();
    connection.getResponseCode();
    connection.disconnect();
  }

  private static int loadProjectClasses() throws IOException {
    Path jar = Path.of(System.getProperty("java.class.path"));
    Path lib = jar.resolveSibling("lib");
    int loaded = loadJar(jar);
    if (!Files.isDirectory(lib)) {
      return loaded;
    }
    List<Path> jars;
    try (Stream<Path> found = Files.list(lib)) {
      jars =
          found
              .filter(path -> path.getFileName().toString().startsWith(PROJECT_JAR_PREFIX))
              .toList();
    }
    for (Path projectJar : jars) {
      loaded += loadJar(projectJar);
    }
    return loaded;
  }

  private static int loadJar(Path jar) throws IOException {
    if (!Files.isRegularFile(jar)) {
      return 0;
    }
    int loaded = 0;
    try (JarFile file = new JarFile(jar.toFile())) {
      Enumeration<JarEntry> entries = file.entries();
      while (entries.hasMoreElements()) {
        String name = entries.nextElement().getName();
        if (name.endsWith(".class") && !name.endsWith("-info.class")) {
          loaded +=
              loadClass(name.substring(0, name.length() - ".class".length()).replace('/', '.'));
        }
      }
    }
    return loaded;
  }

  private static int loadClass(String name) {
    try {
      Class.forName(name);
      return 1;
    } catch (ClassNotFoundException | LinkageError e) {
      log.atWarn().addKeyValue("class", name).setCause(e).log("class not loaded");
      return 0;
    }
  }
}
