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
 * Runs a deployment on this machine: stand-ins of the platform and the endpoints, and daemons, each
 * in a process of its own. Life cycle: {@link #startEndpoints}, {@link #startDaemons}, {@link
 * #configure}, calls, {@link #close}.
 *
 * <p>Not thread-safe, except that {@link #instances()} may be called by any thread once all
 * processes are started.
 */
public final class LocalFleet implements AutoCloseable {
  private static final String STANDIN_MAIN = "org.heatherspread.standin.StandinMain";
  private static final String DAEMON_MAIN = "org.heatherspread.daemon.DaemonMain";
  private static final int STANDIN_HEAP_MEGABYTES = 96;
  private static final int DAEMON_HEAP_MEGABYTES = 192;
  private static final long READY_TIMEOUT_MILLIS = 60_000;
  private static final double ENGINE_PRICE_PER_HOUR = 0.9;
  private static final double PLAIN_PRICE_PER_HOUR = 0.08;
  private static final double DAEMON_PRICE_PER_HOUR = 0.04;

  private final Deployment deployment;
  private final FleetLayout layout;
  private final ProcessGroup group;
  private final String idPrefix;
  private final List<FleetInstance> instances = new ArrayList<>();
  private String tableUrl;
  private String cloudUrl;

  private LocalFleet(
      Deployment deployment, FleetLayout layout, ProcessGroup group, String idPrefix) {
    this.deployment = deployment;
    this.layout = layout;
    this.group = group;
    this.idPrefix = idPrefix;
  }

  /** Creates a fleet without starting it; the prefix makes its instance ids unique in a run. */
  public static LocalFleet create(
      Deployment deployment, FleetLayout layout, ProcessGroup group, String idPrefix) {
    return new LocalFleet(deployment, layout, group, idPrefix);
  }

  /** Returns the deployment that this fleet runs. */
  public Deployment deployment() {
    return deployment;
  }

  /** Returns all instances started so far. */
  public List<FleetInstance> instances() {
    return List.copyOf(instances);
  }

  /** Returns the instances of the given kind that were started so far. */
  public List<FleetInstance> instances(String kind) {
    return instances.stream().filter(i -> i.kind().equals(kind)).toList();
  }

  /** Returns the base URL of the cloud API and the instance list. */
  public String cloudUrl() {
    return cloudUrl;
  }

  /** Returns the base URL of the table service. */
  public String tableUrl() {
    return tableUrl;
  }

  /** Returns the key with which operators authenticate. */
  public static String operatorKey() {
    return DaemonSettingsWriter.OPERATOR_KEY;
  }

  /** Starts the platform's stand-ins and all endpoints, and publishes the instance list. */
  public void startEndpoints() throws IOException {
    JavaProcess table = startStandin("table", List.of("table"));
    final JavaProcess cloud = startStandin("cloud", List.of("cloud", "--lag-ms", "500"));
    List<JavaProcess> engines = new ArrayList<>();
    List<JavaProcess> plainServices = new ArrayList<>();
    for (int i = 0; i < layout.engines(); i++) {
      engines.add(startStandin("engine" + i, engineOptions(i)));
    }
    for (int i = 0; i < layout.plainServices(); i++) {
      String id = idPrefix + "plain" + i;
      plainServices.add(
          startStandin(
              "plain" + i,
              List.of(
                  "plain", "--id", id, "--ledger", executionLogPath(id), "--incarnation", "1")));
    }
    tableUrl = "http://127.0.0.1:" + awaitPort(table);
    cloudUrl = "http://127.0.0.1:" + awaitPort(cloud);
    for (int i = 0; i < engines.size(); i++) {
      addEndpoint(
          "engine" + i,
          "engine",
          deployment.modelService(),
          i,
          ENGINE_PRICE_PER_HOUR,
          engines.get(i));
    }
    for (int i = 0; i < plainServices.size(); i++) {
      addEndpoint(
          "plain" + i,
          "plain",
          deployment.plainService(),
          i,
          PLAIN_PRICE_PER_HOUR,
          plainServices.get(i));
    }
    publishInstances();
  }

  private List<String> engineOptions(int i) {
    String id = idPrefix + "engine" + i;
    List<String> options =
        new ArrayList<>(
            List.of("engine", "--id", id, "--incarnation", "1", "--ledger", executionLogPath(id)));
    options.addAll(List.of("--models", deployment.modelService() + "@v1", "--seed", "" + (i + 1)));
    if (!layout.engineOptions().isEmpty()) {
      options.addAll(Arrays.asList(layout.engineOptions().split(" ")));
    }
    return options;
  }

  private JavaProcess startStandin(String name, List<String> arguments) throws IOException {
    return group.start(idPrefix + name, STANDIN_HEAP_MEGABYTES, STANDIN_MAIN, arguments);
  }

  private static int awaitPort(JavaProcess process) throws IOException {
    return Integer.parseInt(process.awaitLine("READY ", READY_TIMEOUT_MILLIS));
  }

  private void addEndpoint(
      String name, String kind, String service, int i, double price, JavaProcess process)
      throws IOException {
    int port = awaitPort(process);
    instances.add(
        new FleetInstance(idPrefix + name, kind, service, domainOf(i), port, 0, price, process));
  }

  private String domainOf(int i) {
    return deployment.domains().get(i % layout.domains());
  }

  private String executionLogPath(String id) {
    return group.dir().resolve(id + ".ledger").toString();
  }

  /** Starts the daemons and waits until each is live. */
  public void startDaemons() throws IOException {
    DaemonSettingsWriter.PlatformUrls platformUrls =
        new DaemonSettingsWriter.PlatformUrls(tableUrl, cloudUrl);
    List<Integer> ports = FreePorts.find(2 * layout.daemons());
    for (int i = 0; i < layout.daemons(); i++) {
      String id = idPrefix + "daemon" + i;
      int[] daemonPorts = {ports.get(2 * i), ports.get(2 * i + 1)};
      Path settingsFile =
          DaemonSettingsWriter.write(
              group.dir(), deployment, id, domainOf(i), platformUrls, daemonPorts);
      JavaProcess process =
          group.start(
              id, DAEMON_HEAP_MEGABYTES, DAEMON_MAIN, List.of("--config", settingsFile.toString()));
      instances.add(
          new FleetInstance(
              id,
              "daemon",
              "",
              domainOf(i),
              daemonPorts[0],
              daemonPorts[1],
              DAEMON_PRICE_PER_HOUR,
              process));
    }
    publishInstances();
    for (FleetInstance daemon : instances("daemon")) {
      awaitOk(daemon, "/health/live");
    }
  }

  private void publishInstances() throws IOException {
    ObjectNode body = JsonHttpClient.mapper().createObjectNode();
    ArrayNode list = body.putArray("instances");
    instances.forEach(i -> i.writeListEntry(deployment.region(), list.addObject()));
    JsonHttpClient.post(cloudUrl + "/standin/instances", body.toString());
  }

  private static void awaitOk(FleetInstance instance, String path) throws IOException {
    long deadlineMillis = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
    String lastFailure = "no response";
    while (System.currentTimeMillis() < deadlineMillis) {
      try {
        var response = JsonHttpClient.send("GET", instance.baseUrl() + path, "");
        if (response.statusCode() == 200) {
          return;
        }
        lastFailure = response.statusCode() + " " + response.body();
      } catch (IOException e) {
        lastFailure = e.toString();
      }
      if (!instance.process().isAlive()) {
        throw new IOException(
            instance.id() + " exited during startup; see " + instance.process().logFile());
      }
      JavaProcess.sleep(100);
    }
    throw new IOException(instance.id() + " " + path + ": " + lastFailure);
  }

  /** Confirms services and the client account with the command-line tool; awaits readiness. */
  public void configure() throws IOException {
    String keyHash = DaemonSettingsWriter.sha256Hex(deployment.accountKey());
    runCli("service", "put", deployment.modelService(), "--type", "model", "--version", "v1");
    runCli("service", "put", deployment.plainService(), "--type", "plain", "--repeatable", "GET:/");
    runCli(
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
    for (FleetInstance daemon : instances("daemon")) {
      awaitOk(daemon, "/health/ready");
    }
  }

  private void runCli(String... arguments) throws IOException {
    List<String> commandLine = new ArrayList<>(Arrays.asList(arguments));
    commandLine.add("--yes");
    for (FleetInstance daemon : instances("daemon")) {
      commandLine.addAll(List.of("--daemon", daemon.baseUrl()));
    }
    commandLine.addAll(List.of("--key", DaemonSettingsWriter.OPERATOR_KEY));
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
    ExitStatus status = CliMain.run(commandLine.toArray(String[]::new), out, out);
    if (status != ExitStatus.OK) {
      String message = output.toString(StandardCharsets.UTF_8);
      throw new IOException(String.join(" ", arguments) + ": " + status + "\n" + message);
    }
  }

  /** Announces the reclaim of all instances of a failure domain. */
  public void announceReclaim(String domain, long noticeMillis) throws IOException {
    String body = "{\"domain\":\"%s\",\"notice_ms\":%d}".formatted(domain, noticeMillis);
    JsonHttpClient.post(cloudUrl + "/standin/reclaim", body);
  }

  /** Kills all processes of a failure domain. */
  public void killDomain(String domain) {
    for (FleetInstance instance : instances) {
      if (instance.domain().equals(domain)) {
        instance.process().kill();
      }
    }
  }

  /** Returns the accrued cost of all instances since their start. */
  public double cost() {
    double cost = 0;
    for (FleetInstance instance : instances) {
      cost += instance.cost();
    }
    return cost;
  }

  @Override
  public void close() {
    instances.forEach(i -> i.process().kill());
  }
}
