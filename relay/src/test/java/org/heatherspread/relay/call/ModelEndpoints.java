package org.heatherspread.relay.call;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.FakeEndpoint.Connection;
import org.heatherspread.relay.FakeEndpoint.Request;

/**
 * The endpoints of one play: each draws the faults of an execution from the seed, the request and
 * the number of its execution, and records what it answered first. Thread-safe.
 *
 * <p>Some faults are left out, as no relay can tell them from correct answers: a body without
 * length that is cut by a regular close of its connection or goes on with other bytes, a forged
 * first answer with the right id, a first answer without an id on a used connection before a second
 * one with it, a second answer that fills up the declared length of a first one whose body stopped,
 * and a new stream whose first event is wrong, as it may have any id.
 */
final class ModelEndpoints {
  private static final int[] STATUSES = {200, 200, 200, 200, 204, 404, 429, 500, 503};
  private static final int MAX_EVENTS = 6;
  private static final long SILENCE_MILLIS = 60;
  private static final long LONG_SILENCE_MILLIS = 1_400;

  /** One execution of a request and its first answer; events only if it is a stream. */
  record Execution(
      String id,
      int attempt,
      int number,
      int status,
      String signature,
      boolean executed,
      String body,
      List<Integer> eventIds,
      boolean endsWhole,
      String fault) {
    private String eventText(int event) {
      return id + '/' + number + '/' + event;
    }
  }

  private enum Framing {
    LENGTH,
    CHUNKED,
    CLOSE
  }

  private enum Fault {
    NONE,
    CUT,
    CUT_THEN_AGAIN,
    TWICE,
    TWICE_LATE,
    LATE_CUT,
    WRONG_ID,
    NO_ID,
    BYTES_AFTER,
    INTERIM,
    SILENCE
  }

  private final long seed;
  private final List<Execution> executions = new CopyOnWriteArrayList<>();
  private final Map<Socket, String> lateBytes = new ConcurrentHashMap<>();

  ModelEndpoints(long seed) {
    this.seed = seed;
  }

  FakeEndpoint start() throws IOException {
    return FakeEndpoint.start(this::respond);
  }

  /** Returns the executions of all attempts with an id so far. */
  List<Execution> executions(String id) {
    return executions.stream().filter(execution -> execution.id().equals(id)).toList();
  }

  /** Returns the executions of a caller's attempt so far, in their order. */
  List<Execution> executions(ModelRequest request) {
    return executions(request.id()).stream()
        .filter(execution -> execution.attempt() == request.attempt())
        .toList();
  }

  private synchronized int nextNumber(String id) {
    return executions(id).size();
  }

  private void respond(Request request, Connection connection) throws Exception {
    begin(request, connection, List.of()).send();
  }

  /**
   * Begins the execution of a request.
   *
   * @param extraHeaders lines of all answers of the endpoint
   */
  Answer begin(Request request, Connection connection, List<String> extraHeaders) {
    return new Answer(request, connection, extraHeaders);
  }

  /** The answer to one request. */
  final class Answer {
    private final Connection connection;
    private final List<String> extraHeaders;
    private final boolean isHead;
    private final boolean isStream;
    private final SplittableRandom random;
    private final Framing framing;
    private final Fault fault;
    private final Execution execution;

    private Answer(Request request, Connection connection, List<String> extraHeaders) {
      this.connection = connection;
      this.extraHeaders = extraHeaders;
      String id = request.header("attempt-id");
      isHead = request.requestLine().startsWith("HEAD");
      boolean streamRoute =
          !request.requestLine().contains("/read/") && !request.requestLine().contains("/write/");
      synchronized (ModelEndpoints.this) {
        int number = nextNumber(id);
        random = new SplittableRandom(seed * 1_000_003 + id.hashCode() * 31L + number);
        random.nextLong();
        framing = Framing.values()[random.nextInt(Framing.values().length)];
        Fault drawn = drawFault();
        boolean addsBytes = drawn == Fault.TWICE || drawn == Fault.BYTES_AFTER;
        fault = addsBytes && framing == Framing.CLOSE ? Fault.NONE : drawn;
        int status = STATUSES[random.nextInt(STATUSES.length)];
        isStream = streamRoute && status == 200;
        boolean refuses =
            (status == 503 || status == 429) && random.nextInt(3) > 0 && fault != Fault.CUT;
        String after = request.header("last-event-id");
        List<Integer> events =
            isStream ? drawEvents(after == null ? -1 : Integer.parseInt(after)) : List.of();
        String body = status == 204 || isStream ? "" : body(id, number);
        String signature = "sig/" + id + '/' + number + '/' + status;
        execution =
            new Execution(
                id,
                Integer.parseInt(request.header(ModelRequest.ATTEMPT_HEADER)),
                number,
                status,
                signature,
                !refuses,
                body,
                events,
                fault != Fault.CUT,
                framing + " " + fault + (refuses ? " refuses" : ""));
        executions.add(execution);
      }
    }

    private Fault drawFault() {
      if (random.nextBoolean()) {
        return Fault.NONE;
      }
      return Fault.values()[random.nextInt(Fault.values().length)];
    }

    private String body(String id, int number) {
      return "body/" + id + '/' + number + '/' + "x".repeat(random.nextInt(80));
    }

    /** Draws events after the given one, or from the beginning of the stream if it is -1. */
    private List<Integer> drawEvents(int after) {
      int first = Math.max(0, after) + 1;
      int checkedFrom = after < 0 ? 1 : 0;
      List<Integer> events = new ArrayList<>();
      for (int event = first; event < first + random.nextInt(MAX_EVENTS); event++) {
        events.add(event);
      }
      if (events.size() > checkedFrom && random.nextInt(4) == 0) {
        int at = checkedFrom + random.nextInt(events.size() - checkedFrom);
        int right = events.get(at);
        // An id of -1 stands for an event without one.
        int[] wrong = {right - 1, right + 1, right + 7, -1, 1};
        events.set(at, wrong[random.nextInt(wrong.length)]);
      }
      return events;
    }

    private String content(Execution of) {
      if (!isStream) {
        return of.body();
      }
      StringBuilder text = new StringBuilder();
      for (int event : of.eventIds()) {
        String idLine = event < 0 ? "" : "id: " + event + '\n';
        text.append(idLine).append("data: ").append(of.eventText(event)).append("\n\n");
      }
      return text.toString();
    }

    private String head(Execution of, String id, int length) {
      List<String> lines = new ArrayList<>();
      if (!id.isEmpty()) {
        lines.add("Attempt-Id: " + id);
      }
      lines.add("Server-Signature: " + of.signature());
      lines.add("Content-Type: text/plain");
      if (random.nextBoolean()) {
        lines.add(lines.remove(0));
      }
      lines.addAll(extraHeaders);
      if (!of.executed()) {
        lines.add("Request-Not-Executed: 1");
      }
      if (of.status() != 204) {
        switch (framing) {
          case LENGTH -> lines.add("Content-Length: " + length);
          case CHUNKED -> lines.add("Transfer-Encoding: chunked");
          default -> lines.add("Connection: close");
        }
      }
      return "HTTP/1.1 " + of.status() + " X\r\n" + String.join("\r\n", lines) + "\r\n\r\n";
    }

    private String message(Execution of, String id) {
      String content = content(of);
      String head = head(of, id, content.length());
      if (isHead || of.status() == 204) {
        return head;
      }
      if (framing != Framing.CHUNKED) {
        return head + content;
      }
      StringBuilder message = new StringBuilder(head);
      int done = 0;
      while (done < content.length()) {
        int size = 1 + random.nextInt(content.length() - done);
        message.append(Integer.toHexString(size)).append("\r\n");
        message.append(content, done, done + size).append("\r\n");
        done += size;
      }
      return message.append("0\r\n\r\n").toString();
    }

    /** Returns the same answer, or one with another status, whose signature no caller may get. */
    private Execution again() {
      if (isStream || random.nextBoolean()) {
        return execution;
      }
      int status = execution.status() == 200 ? 500 : 200;
      return new Execution(
          execution.id(),
          execution.attempt(),
          execution.number(),
          status,
          "again/" + execution.id(),
          random.nextInt(3) > 0,
          "again/" + execution.id(),
          List.of(),
          true,
          "");
    }

    private int headLength(String message) {
      return message.indexOf("\r\n\r\n") + 4;
    }

    /** Sends what the fault makes of the answer; throws to close the connection. */
    void send() throws Exception {
      String late = lateBytes.remove(connection.socket());
      String first = message(execution, execution.id());
      boolean isCutLate = late != null && !late.isEmpty() && late.charAt(0) == '!';
      String before = late == null ? "" : late.substring(1);
      switch (fault) {
        case CUT -> cut(before, first);
        case CUT_THEN_AGAIN -> {
          int end = 1 + random.nextInt(headLength(first) - 1);
          connection.send(before + first.substring(0, end) + message(again(), execution.id()));
          close();
        }
        case TWICE -> connection.send(before + first + message(again(), execution.id()));
        case TWICE_LATE -> {
          connection.send(before + first);
          String id = random.nextInt(3) == 0 ? "" : execution.id();
          lateBytes.put(connection.socket(), '.' + message(again(), id));
        }
        case LATE_CUT -> {
          connection.send(before + first);
          String second = message(again(), execution.id());
          int limit = random.nextBoolean() ? headLength(second) : second.length();
          lateBytes.put(
              connection.socket(), '!' + second.substring(0, 1 + random.nextInt(limit - 1)));
        }
        case WRONG_ID -> {
          connection.send(before + message(again(), "other"));
          if (random.nextBoolean()) {
            connection.send(first);
          }
          close();
        }
        case NO_ID -> {
          connection.send(before + message(execution, ""));
          close();
        }
        case BYTES_AFTER -> connection.send(before + first + "\0garbage\r\n".repeat(3));
        case INTERIM -> connection.send(before + "HTTP/1.1 103 Hints\r\n\r\n" + first);
        case SILENCE -> {
          TimeUnit.MILLISECONDS.sleep(
              random.nextInt(200) == 0 ? LONG_SILENCE_MILLIS : SILENCE_MILLIS);
          connection.send(before + first);
        }
        default -> connection.send(before + first);
      }
      boolean endsWithConnection = framing == Framing.CLOSE && execution.status() != 204;
      if (endsWithConnection || isCutLate) {
        close();
      }
    }

    private void cut(String before, String message) throws IOException {
      boolean bodyEndsWithClose = framing == Framing.CLOSE;
      int limit = bodyEndsWithClose ? headLength(message) : message.length();
      connection.send(before + message.substring(0, random.nextInt(limit)));
      if (random.nextBoolean()) {
        connection.reset();
      }
      close();
    }

    private void close() throws IOException {
      throw new IOException("the script ends the connection");
    }
  }
}
