package org.heatherspread.bench.process;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.heatherspread.cli.CliMain;
import org.heatherspread.cli.ExitStatus;

/**
 * A deployment on this machine: stand-ins of the platform and the endpoints, and daemons, each a
 * process of its own. Life cycle: {@link #startEndpoints}, {@link #startDaemons}, {@link
 * #configure}, calls, {@link #close}.
 *
 * <p>Not safe for use by several threads, but for {@link #nodes}.
 */
public final class Fleet implements AutoCloseable {
  private static final String STANDIN = "org.heatherspread.standin.StandinMain";
  private static final String DAEMON = "org.heatherspread.daemon.DaemonMain";
  private static final int STANDIN_HEAP_MEGABYTES = 96;
  private static final int DAEMON_HEAP_MEGABYTES = 192;
  private static final long READY_TIMEOUT_MILLIS = 60_000;
  private static final double ENGINE_PRICE = 0.9;
  private static final double PLAIN_PRICE = 0.08;
  private static final double DAEMON_PRICE = 0.04;

  private final Deployment deployment;
  private final FleetLayout layout;
  private final ProcessGroup group;
  private final String prefix;
  private final List<FleetNode> nodes = new ArrayList<>();
  private String tableUrl;
  private String cloudUrl;

  private Fleet(Deployment deployment, FleetLayout layout, ProcessGroup group, String prefix) {
    this.deployment = deployment;
    this.layout = layout;
    this.group = group;
    this.prefix = prefix;
  }

  /** Prepares a fleet; the prefix tells its instances from those of others in the same run. */
  public static Fleet create(
      Deployment deployment, FleetLayout layout, ProcessGroup group, String prefix) {
    return new Fleet(deployment, layout, group, prefix);
  }

  /** Returns the deployment. */
  public Deployment deployment() {
    return deployment;
  }

  /** Returns all instances started so far. */
  public List<FleetNode> nodes() {
    return List.copyOf(nodes);
  }

  /** Returns the instances of a kind. */
  public List<FleetNode> nodes(String kind) {
    return nodes.stream().filter(n -> n.kind().equals(kind)).toList();
  }

  /** Returns the base URL of the cloud and instance list. */
  public String cloudUrl() {
    return cloudUrl;
  }

  /** Returns the base URL of the table service. */
  public String tableUrl() {
    return tableUrl;
  }

  /** Returns the key that operators of the fleet bring. */
  public static String operatorKey() {
    return DaemonConfigFile.OPERATOR_KEY;
  }

  // ---- Start ----

  /** Starts the platform's stand-ins and all endpoints, and lists the endpoints. */
  public void startEndpoints() throws IOException {
    JavaProcess table = standin("table", List.of("table"));
    final JavaProcess cloud = standin("cloud", List.of("cloud", "--lag-ms", "500"));
    List<JavaProcess> engines = new ArrayList<>();
    List<JavaProcess> plains = new ArrayList<>();
    for (int i = 0; i < layout.engines(); i++) {
      engines.add(standin("engine" + i, engineOptions(i)));
    }
    for (int i = 0; i < layout.plain(); i++) {
      String id = prefix + "plain" + i;
      plains.add(
          standin(
              "plain" + i,
              List.of("plain", "--id", id, "--ledger", ledger(id), "--incarnation", "1")));
    }
    tableUrl = "http://127.0.0.1:" + ready(table);
    cloudUrl = "http://127.0.0.1:" + ready(cloud);
    for (int i = 0; i < engines.size(); i++) {
      add("engine" + i, "engine", deployment.model(), i, ENGINE_PRICE, engines.get(i));
    }
    for (int i = 0; i < plains.size(); i++) {
      add("plain" + i, "plain", deployment.plain(), i, PLAIN_PRICE, plains.get(i));
    }
    list();
  }

  private List<String> engineOptions(int i) {
    String id = prefix + "engine" + i;
    List<String> options =
        new ArrayList<>(
            List.of("engine", "--id", id, "--incarnation", "1", "--ledger", ledger(id)));
    options.addAll(List.of("--models", deployment.model() + "@v1", "--seed", "" + (i + 1)));
    if (!layout.engineOptions().isEmpty()) {
      options.addAll(Arrays.asList(layout.engineOptions().split(" ")));
    }
    return options;
  }

  private JavaProcess standin(String name, List<String> arguments) throws IOException {
    return group.start(prefix + name, STANDIN_HEAP_MEGABYTES, STANDIN, arguments);
  }

  private static int ready(JavaProcess process) throws IOException {
    return Integer.parseInt(process.awaitLine("READY ", READY_TIMEOUT_MILLIS));
  }

  private void add(
      String name, String kind, String service, int i, double price, JavaProcess process)
      throws IOException {
    int port = ready(process);
    nodes.add(new FleetNode(prefix + name, kind, service, domain(i), port, 0, price, process));
  }

  private String domain(int i) {
    return deployment.domains().get(i % layout.domains());
  }

  private String ledger(String id) {
    return group.dir().resolve(id + ".ledger").toString();
  }

  /** Starts the daemons and waits until each answers. */
  public void startDaemons() throws IOException {
    DaemonConfigFile.Platform platform = new DaemonConfigFile.Platform(tableUrl, cloudUrl);
    List<Integer> ports = Ports.free(2 * layout.daemons());
    for (int i = 0; i < layout.daemons(); i++) {
      String id = prefix + "daemon" + i;
      int[] own = {ports.get(2 * i), ports.get(2 * i + 1)};
      Path file = DaemonConfigFile.write(group.dir(), deployment, id, domain(i), platform, own);
      JavaProcess process =
          group.start(id, DAEMON_HEAP_MEGABYTES, DAEMON, List.of("--config", file.toString()));
      nodes.add(new FleetNode(id, "daemon", "", domain(i), own[0], own[1], DAEMON_PRICE, process));
    }
    list();
    for (FleetNode daemon : nodes("daemon")) {
      awaitStatus(daemon, "/health/live");
    }
  }

  private void list() throws IOException {
    ObjectNode body = JsonCalls.mapper().createObjectNode();
    ArrayNode instances = body.putArray("instances");
    nodes.forEach(n -> n.describe(deployment.region(), instances.addObject()));
    JsonCalls.post(cloudUrl + "/standin/instances", body.toString());
  }

  private static void awaitStatus(FleetNode node, String path) throws IOException {
    long end = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
    String last = "no answer";
    while (System.currentTimeMillis() < end) {
      try {
        var answer = JsonCalls.send("GET", node.url() + path, "");
        if (answer.statusCode() == 200) {
          return;
        }
        last = answer.statusCode() + " " + answer.body();
      } catch (IOException e) {
        last = e.toString();
      }
      if (!node.process().alive()) {
        throw new IOException(node.id() + " ended at start; see " + node.process().log());
      }
      JavaProcess.pause(100);
    }
    throw new IOException(node.id() + " " + path + ": " + last);
  }

  // ---- Configuration ----

  /** Confirms services and the client account with the command-line tool, and awaits readiness. */
  public void configure() throws IOException {
    String keyHash = DaemonConfigFile.sha256(deployment.accountKey());
    command("service", "put", deployment.model(), "--type", "model", "--version", "v1");
    command("service", "put", deployment.plain(), "--type", "plain", "--repeatable", "GET:/");
    command(
        "account",
        "put",
        deployment.account(),
        "--key-hash",
        keyHash,
        "--requests",
        "100000",
        "--tokens",
        "100000000",
        "--concurrency",
        "10000");
    for (FleetNode daemon : nodes("daemon")) {
      awaitStatus(daemon, "/health/ready");
    }
  }

  private void command(String... words) throws IOException {
    List<String> all = new ArrayList<>(Arrays.asList(words));
    all.add("--yes");
    for (FleetNode daemon : nodes("daemon")) {
      all.addAll(List.of("--daemon", daemon.url()));
    }
    all.addAll(List.of("--key", DaemonConfigFile.OPERATOR_KEY));
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    ExitStatus status = CliMain.run(all.toArray(String[]::new), out, out);
    if (status != ExitStatus.OK) {
      String text = bytes.toString(StandardCharsets.UTF_8);
      throw new IOException(String.join(" ", words) + ": " + status + "\n" + text);
    }
  }

  // ---- Faults ----

  /** Announces the end of all instances of a failure domain. */
  public void reclaim(String domain, long noticeMillis) throws IOException {
    String body = "{\"domain\":\"%s\",\"notice_ms\":%d}".formatted(domain, noticeMillis);
    JsonCalls.post(cloudUrl + "/standin/reclaim", body);
  }

  /** Ends all processes of a failure domain at once. */
  public void killDomain(String domain) {
    for (FleetNode node : nodes) {
      if (node.domain().equals(domain)) {
        node.process().kill();
      }
    }
  }

  /** Returns the cost of all instances since their start. */
  public double cost() {
    double cost = 0;
    for (FleetNode node : nodes) {
      cost += node.cost();
    }
    return cost;
  }

  @Override
  public void close() {
    nodes.forEach(n -> n.process().kill());
  }
}
