import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;

/** The platform's store and cloud API on loopback, as PROTOCOL.md describes them. */
final class Platform {
  /** One row; a deleted one stays in the history. */
  private record Row(byte[] value, long version, boolean deleted) {}

  /** A copy of the store. */
  record Copy(Map<String, TreeMap<String, Row>> tables, long version) {}

  /** A call of a duty. */
  record DutyCall(long millis, String path, String holder, String token, String body) {}

  private final HttpServer server;
  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final long startNanos = System.nanoTime();
  final List<DutyCall> dutyCalls = new CopyOnWriteArrayList<>();
  volatile java.util.function.Consumer<DutyCall> dutyListener = call -> {};
  private long version = 100;
  private long era = 1;
  private volatile boolean away;

  Platform() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", this::handle);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Answers every call with 503, as a store that is away. */
  void setAway(boolean isAway) {
    away = isAway;
  }

  boolean isAway() {
    return away;
  }

  synchronized void put(String table, String key, String value) {
    version++;
    rows(table).put(key, new Row(value.getBytes(StandardCharsets.UTF_8), version, false));
    notifyAll();
  }

  synchronized void delete(String table, String key) {
    version++;
    rows(table).put(key, new Row(new byte[0], version, true));
    notifyAll();
  }

  synchronized String get(String table, String key) {
    Row row = rows(table).get(key);
    return row == null || row.deleted ? null : new String(row.value, StandardCharsets.UTF_8);
  }

  /** Returns the values of the rows whose keys begin with a prefix. */
  synchronized String valuesOf(String table, String prefix) {
    StringBuilder values = new StringBuilder();
    rows(table)
        .tailMap(prefix)
        .forEach(
            (key, row) -> {
              if (key.startsWith(prefix) && !row.deleted) {
                values.append(row.version).append(new String(row.value, StandardCharsets.UTF_8));
              }
            });
    return values.toString();
  }

  synchronized Copy copy() {
    Map<String, TreeMap<String, Row>> copied = new HashMap<>();
    tables.forEach((name, rows) -> copied.put(name, new TreeMap<>(rows)));
    return new Copy(copied, version);
  }

  /** Returns from an earlier copy: what was written since is gone, and versions go back. */
  synchronized void restore(Copy copy) {
    tables.clear();
    copy.tables.forEach((name, rows) -> tables.put(name, new TreeMap<>(rows)));
    version = copy.version;
    era++;
    notifyAll();
  }

  private TreeMap<String, Row> rows(String table) {
    return tables.computeIfAbsent(table, name -> new TreeMap<>());
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      String path = exchange.getRequestURI().getPath();
      if (path.equals("/usage") || path.equals("/scaling")) {
        dutyCalls.add(
            new DutyCall(
                System.currentTimeMillis(),
                path,
                exchange.getRequestHeaders().getFirst("Duty-Holder"),
                exchange.getRequestHeaders().getFirst("Fencing-Token"),
                body));
        dutyListener.accept(dutyCalls.get(dutyCalls.size() - 1));
        send(exchange, 200, "{}");
        return;
      }
      if (away) {
        send(exchange, 503, "{}");
        return;
      }
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      switch (path) {
        case "/v1/rows-tx" -> transact(exchange, Json.object(body));
        case "/v1/rows-get" -> read(exchange, query);
        case "/v1/rows-feed" -> feed(exchange, query);
        default -> send(exchange, 404, "{}");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  private void send(HttpExchange exchange, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    synchronized (this) {
      exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
    }
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  private String state() {
    long millis = 1_000_000 + (System.nanoTime() - startNanos) / 1_000_000;
    return "\"row-version\":" + version + ",\"current-time-ms\":" + millis;
  }

  private static String rowJson(String table, String key, Row row) {
    return "{\"table-name\":"
        + Json.quote(table)
        + ",\"part\":\"\",\"key\":"
        + Json.quote(key)
        + ",\"stored-value\":\""
        + Base64.getEncoder().encodeToString(row.value)
        + "\",\"row-version\":"
        + row.version
        + (row.deleted ? ",\"deleted\":true}" : "}");
  }

  @SuppressWarnings("unchecked")
  private static List<Map<String, Object>> entries(Map<String, Object> call, String name) {
    return (List<Map<String, Object>>) call.getOrDefault(name, List.of());
  }

  private void transact(HttpExchange exchange, Map<String, Object> call) throws IOException {
    int status = 200;
    String answer;
    synchronized (this) {
      for (Map<String, Object> expected : entries(call, "expect")) {
        Row row = rows((String) expected.get("table-name")).get((String) expected.get("key"));
        long found = row == null || row.deleted ? 0 : row.version;
        if (found != ((Double) expected.get("row-version")).longValue()) {
          status = 412;
        }
      }
      if (status == 200) {
        version++;
        for (Map<String, Object> put : entries(call, "puts")) {
          byte[] value = Base64.getDecoder().decode((String) put.get("stored-value"));
          rows((String) put.get("table-name"))
              .put((String) put.get("key"), new Row(value, version, false));
        }
        for (Map<String, Object> delete : entries(call, "deletes")) {
          rows((String) delete.get("table-name"))
              .put((String) delete.get("key"), new Row(new byte[0], version, true));
        }
        notifyAll();
      }
      answer = "{\"row-values\":[]," + state() + "}";
    }
    send(exchange, status, answer);
  }

  private void read(HttpExchange exchange, Map<String, String> query) throws IOException {
    String answer;
    synchronized (this) {
      String table = query.get("table-name");
      List<String> found = new ArrayList<>();
      rows(table)
          .tailMap(query.getOrDefault("source-node", ""))
          .forEach(
              (key, row) -> {
                boolean within = !query.containsKey("to") || key.compareTo(query.get("to")) < 0;
                if (!row.deleted && within) {
                  found.add(rowJson(table, key, row));
                }
              });
      answer =
          "{\"row-values\":[" + String.join(",", found) + "],\"has-more\":false," + state() + "}";
    }
    send(exchange, 200, answer);
  }

  private void feed(HttpExchange exchange, Map<String, String> query)
      throws IOException, InterruptedException {
    String table = query.get("table-name");
    long after = Long.parseLong(query.get("after"));
    long wait = Long.parseLong(query.getOrDefault("wait-time-ms", "0"));
    long endNanos = System.nanoTime() + wait * 1_000_000;
    String answer = null;
    int status = 200;
    synchronized (this) {
      long eraBefore = era;
      while (answer == null) {
        if (after > version || era != eraBefore) {
          status = 410;
          answer = "{" + state() + "}";
          break;
        }
        List<String> found = new ArrayList<>();
        rows(table)
            .forEach(
                (key, row) -> {
                  if (row.version > after) {
                    found.add(rowJson(table, key, row));
                  }
                });
        long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
        if (!found.isEmpty() || leftMillis <= 0 || away) {
          answer = "{\"row-values\":[" + String.join(",", found) + "]," + state() + "}";
        } else {
          wait(Math.min(20, leftMillis));
        }
      }
    }
    if (away) {
      send(exchange, 503, "{}");
      return;
    }
    send(exchange, status, answer);
  }
}
