package org.heatherspread.node.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Caller that reads one response at a limited speed and does something with its connection
 * meanwhile. Confined to one thread.
 */
final class SlowReader {
  private static final int BLOCKS_PER_SECOND = 100;
  private static final int POLL_MILLIS = 20;
  private static final long KEEP_MILLIS = 9_500;
  private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
  private static final Pattern LENGTH = Pattern.compile("\ncontent-length: (\\d+)");

  /** How an endpoint delimits its response. */
  enum Framing {
    LENGTH,
    CHUNKED,
    CLOSE,
    STREAM
  }

  /** What a caller does beside reading. */
  enum Habit {
    /** Closes the connection after the response. */
    CLOSES,
    /** Keeps the connection open until the daemon closes it. */
    KEEPS,
    /** Sends another request at the same time as the first one. */
    SENDS_AHEAD,
    /** Sends another request at any time. */
    SENDS_LATE,
    /** Closes its side of the connection once it has the head of a response. */
    HALF_CLOSES
  }

  /**
   * What a caller requests and how it behaves; times are relative to the start of its batch.
   *
   * @param receiveBytes size of the receive buffer, 0 for the default
   */
  record Plan(
      String id,
      int size,
      Framing framing,
      int bytesPerSecond,
      int receiveBytes,
      Habit habit,
      long startMillis,
      long nextRequestMillis) {
    private static final int MIN_SIZE = 2_000;
    private static final int MAX_SIZE = 4_000_000;
    private static final int MIN_SPEED = 5_000;
    private static final int MAX_SPEED = 2_000_000;
    private static final int SMALL_RECEIVE_BYTES = 16_384;
    private static final long MAX_START_MILLIS = 2_500;
    private static final long MAX_NEXT_MILLIS = 9_000;

    /** Draws a plan. */
    static Plan draw(String id, SplittableRandom random) {
      Habit habit = Habit.values()[random.nextInt(Habit.values().length)];
      Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
      boolean streamHalfClosed = habit == Habit.HALF_CLOSES && framing == Framing.STREAM;
      return new Plan(
          id,
          logUniform(MIN_SIZE, MAX_SIZE, random),
          // The end of a connection cancels a stream that is still being produced.
          streamHalfClosed ? Framing.CHUNKED : framing,
          logUniform(MIN_SPEED, MAX_SPEED, random),
          random.nextBoolean() ? SMALL_RECEIVE_BYTES : 0,
          habit,
          random.nextLong(MAX_START_MILLIS),
          random.nextLong(MAX_NEXT_MILLIS));
    }

    private static int logUniform(int min, int max, SplittableRandom random) {
      return (int) (min * Math.pow((double) max / min, random.nextDouble()));
    }

    /** Returns the time that reading the response takes at least. */
    long readMillis() {
      return size * 1_000L / bytesPerSecond;
    }
  }

  /**
   * What a caller got.
   *
   * @param connected whether the daemon still accepted the connection
   * @param whole whether a response arrived in full
   * @param status status of the response, 0 for none
   * @param bytes number of received bytes
   * @param endNanos time at which the response was whole or the connection ended
   * @param error text of the exception that ended the connection, empty for none
   */
  record Received(
      boolean connected, boolean whole, int status, int bytes, long endNanos, String error) {}

  private final Plan plan;
  private final int port;
  private final long originNanos;
  private final ByteArrayOutputStream received = new ByteArrayOutputStream();
  private Socket socket;
  private boolean nextRequestSent;
  private int expectedBytes = -1;
  private boolean chunked;
  private String tail = "";
  private boolean lastChunkReceived;
  private int status;

  SlowReader(Plan plan, int port, long originNanos) {
    this.plan = plan;
    this.port = port;
    this.originNanos = originNanos;
  }

  /** Sends the request at its time and reads the response. */
  Received run() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(Math.max(0, plan.startMillis() - elapsedMillis()));
    try (Socket opened = new Socket()) {
      socket = opened;
      if (plan.receiveBytes() > 0) {
        socket.setReceiveBufferSize(plan.receiveBytes());
      }
      try {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      } catch (IOException e) {
        return new Received(false, false, 0, 0, System.nanoTime(), e.toString());
      }
      return exchange();
    } catch (IOException e) {
      return result(false, e.toString());
    }
  }

  private Received exchange() throws InterruptedException {
    try {
      sendRequest(plan.id());
      if (plan.habit() == Habit.SENDS_AHEAD) {
        sendRequest(plan.id() + "-next");
      }
      boolean whole = readResponse();
      Received result = result(whole, "");
      if (whole && plan.habit() != Habit.CLOSES) {
        awaitEnd();
      }
      return result;
    } catch (IOException e) {
      return result(isWhole(), e.toString());
    }
  }

  private Received result(boolean whole, String error) {
    return new Received(true, whole, status, received.size(), System.nanoTime(), error);
  }

  private long elapsedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - originNanos);
  }

  private void sendRequest(String id) throws IOException {
    String route = plan.framing() == Framing.STREAM ? "draft" : "read";
    String framing = plan.framing().name().toLowerCase(Locale.ROOT);
    String text =
        """
        GET /%s/%s/%d HTTP/1.1
        Host: localhost
        Attempt-Id: %s
        Deadline-Remaining: 30000
        Content-Length: 0

        """
            .formatted(route, framing, plan.size(), id)
            .replace("\n", "\r\n");
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
  }

  /** Reads at the speed of the plan; returns whether the response is whole. */
  private boolean readResponse() throws IOException, InterruptedException {
    socket.setSoTimeout((int) KEEP_MILLIS);
    InputStream in = socket.getInputStream();
    byte[] block = new byte[Math.max(50, plan.bytesPerSecond() / BLOCKS_PER_SECOND)];
    long beginNanos = System.nanoTime();
    while (!isWhole()) {
      int read = in.read(block);
      if (read < 0 || elapsedMillis() >= KEEP_MILLIS) {
        return false;
      }
      received.write(block, 0, read);
      parseHead();
      findLastChunk(block, read);
      actBesideReading();
      long dueNanos =
          beginNanos + received.size() * TimeUnit.SECONDS.toNanos(1) / plan.bytesPerSecond();
      TimeUnit.NANOSECONDS.sleep(Math.max(0, dueNanos - System.nanoTime()));
    }
    return true;
  }

  private void actBesideReading() throws IOException {
    boolean sends = plan.habit() == Habit.SENDS_LATE && elapsedMillis() >= plan.nextRequestMillis();
    if (sends && !nextRequestSent) {
      nextRequestSent = true;
      sendRequest(plan.id() + "-next");
    }
    if (plan.habit() == Habit.HALF_CLOSES && status > 0 && !socket.isOutputShutdown()) {
      socket.shutdownOutput();
    }
  }

  private void parseHead() {
    if (status > 0) {
      return;
    }
    String text = received.toString(StandardCharsets.ISO_8859_1);
    int end = text.indexOf("\r\n\r\n");
    if (end < 0) {
      return;
    }
    String head = text.substring(0, end).toLowerCase(Locale.ROOT);
    status = Integer.parseInt(head.substring(9, 12));
    chunked = head.contains("transfer-encoding: chunked");
    Matcher length = LENGTH.matcher(head);
    if (!chunked && length.find()) {
      expectedBytes = end + 4 + Integer.parseInt(length.group(1));
    }
  }

  private boolean isWhole() {
    if (status == 0) {
      return false;
    }
    if (!chunked) {
      return expectedBytes >= 0 && received.size() >= expectedBytes;
    }
    return lastChunkReceived;
  }

  /** Looks for the last chunk; bodies consist of letters, so that they do not contain it. */
  private void findLastChunk(byte[] block, int length) {
    String text = tail + new String(block, 0, length, StandardCharsets.ISO_8859_1);
    lastChunkReceived |= text.contains(LAST_CHUNK);
    tail = text.substring(Math.max(0, text.length() - LAST_CHUNK.length()));
  }

  /** Keeps the connection until the daemon ends it, and sends the next request at its time. */
  private void awaitEnd() throws IOException {
    socket.setSoTimeout(POLL_MILLIS);
    byte[] block = new byte[1 << 16];
    while (elapsedMillis() < KEEP_MILLIS) {
      actBesideReading();
      try {
        if (socket.getInputStream().read(block) < 0) {
          return;
        }
      } catch (SocketTimeoutException e) {
        // Nothing has come yet.
      }
    }
  }
}
