package org.heatherspread.bench.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Keeps a number of chat streams open from one thread and measures them. Each stream sends its next
 * request when its answer ends. Counts the events of an answer without parsing their JSON.
 *
 * <p>Not thread-safe.
 */
final class StreamLoadGenerator implements AutoCloseable {
  private static final byte[] DATA_PREFIX = "\ndata: ".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] STATUS_OK = "HTTP/1.1 200".getBytes(StandardCharsets.US_ASCII);
  private static final int READ_BUFFER_BYTES = 65_536;
  private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(5);

  private final Selector selector = Selector.open();
  private final ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
  private final int[] ports;
  private final String path;
  private final int maxTokens;
  private final boolean toEngines;
  private Measurements measurements = new Measurements();
  private long nextId;

  /** Measurements of an interval; latencies are in microseconds. */
  static final class Measurements {
    final Histogram firstToken = new Histogram(MAX_MICROS, 3);
    final Histogram interToken = new Histogram(MAX_MICROS, 3);
    long tokens;
    long responses;
    long failures;
  }

  /** A connection with the state of its current answer. */
  private static final class Stream {
    private final SocketChannel channel;
    private final long firstSendNanos;
    private long sentNanos;
    private long lastEventNanos;
    private int events;
    private int dataMatched;
    private int endMatched;
    private boolean awaitingStatus;

    Stream(SocketChannel channel, long firstSendNanos) {
      this.channel = channel;
      this.firstSendNanos = firstSendNanos;
    }
  }

  private StreamLoadGenerator(int[] ports, String path, int maxTokens, boolean toEngines)
      throws IOException {
    this.ports = ports;
    this.path = path;
    this.maxTokens = maxTokens;
    this.toEngines = toEngines;
  }

  /**
   * Creates a generator of load on loopback servers.
   *
   * @param toEngines whether the servers are engines, which need the headers and the model version
   *     that a daemon adds to its requests
   */
  static StreamLoadGenerator create(int[] ports, int maxTokens, boolean toEngines)
      throws IOException {
    return new StreamLoadGenerator(ports, "/v1/chat/completions", maxTokens, toEngines);
  }

  /** Opens streams whose first requests are evenly spread over an interval. */
  void openStreams(int count, long rampUpMillis) throws IOException {
    long now = System.nanoTime();
    for (int i = 0; i < count; i++) {
      SocketChannel channel = SocketChannel.open();
      channel.connect(new InetSocketAddress("127.0.0.1", ports[i % ports.length]));
      channel.configureBlocking(false);
      channel.socket().setTcpNoDelay(true);
      long firstSendNanos = now + TimeUnit.MILLISECONDS.toNanos(rampUpMillis) * i / count;
      channel.register(selector, SelectionKey.OP_READ, new Stream(channel, firstSendNanos));
    }
  }

  /** Runs for an interval and returns its measurements. */
  Measurements measure(long millis) throws IOException {
    measurements = new Measurements();
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() < end) {
      sendDueRequests();
      selector.select(5);
      Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
      while (keys.hasNext()) {
        SelectionKey key = keys.next();
        keys.remove();
        read((Stream) key.attachment(), key);
      }
    }
    return measurements;
  }

  private void sendDueRequests() throws IOException {
    long now = System.nanoTime();
    for (SelectionKey key : selector.keys()) {
      Stream stream = (Stream) key.attachment();
      if (key.isValid() && stream.sentNanos == 0 && now >= stream.firstSendNanos) {
        sendRequest(stream);
      }
    }
  }

  private void sendRequest(Stream stream) throws IOException {
    long id = nextId++;
    String body =
        "{\"model\":\""
            + (toEngines ? RelayProcess.MODEL + "@v1" : RelayProcess.MODEL)
            + "\",\"stream\":true,\"max_tokens\":"
            + maxTokens
            + ",\"messages\":[{\"role\":\"user\",\"content\":\"vaccination summary "
            + id
            + "\"}]}";
    final String request =
        "POST "
            + path
            + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\n"
            + "Authorization: Bearer "
            + RelayProcess.API_KEY
            + "\r\n"
            + (toEngines ? "X-Request-Id: direct-" + id + "\r\nX-Attempt: 1\r\n" : "")
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    stream.sentNanos = System.nanoTime();
    stream.events = 0;
    stream.awaitingStatus = true;
    ByteBuffer bytes = ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII));
    while (bytes.hasRemaining()) {
      stream.channel.write(bytes);
    }
  }

  private void read(Stream stream, SelectionKey key) throws IOException {
    buffer.clear();
    int count;
    try {
      count = stream.channel.read(buffer);
    } catch (IOException e) {
      count = -1;
    }
    if (count < 0) {
      measurements.failures++;
      key.cancel();
      stream.channel.close();
      return;
    }
    long now = System.nanoTime();
    if (stream.awaitingStatus && count >= STATUS_OK.length) {
      stream.awaitingStatus = false;
      measurements.failures += startsWithStatus() ? 0 : 1;
    }
    parseEvents(stream, count, now);
  }

  private boolean startsWithStatus() {
    for (int i = 0; i < STATUS_OK.length; i++) {
      if (buffer.get(i) != STATUS_OK[i]) {
        return false;
      }
    }
    return true;
  }

  private void parseEvents(Stream stream, int count, long now) throws IOException {
    byte[] bytes = buffer.array();
    boolean completed = false;
    for (int i = 0; i < count; i++) {
      byte b = bytes[i];
      stream.dataMatched =
          b == DATA_PREFIX[stream.dataMatched]
              ? stream.dataMatched + 1
              : b == DATA_PREFIX[0] ? 1 : 0;
      if (stream.dataMatched == DATA_PREFIX.length) {
        stream.dataMatched = 0;
        recordEvent(stream, now);
      }
      stream.endMatched =
          b == LAST_CHUNK[stream.endMatched] ? stream.endMatched + 1 : b == LAST_CHUNK[0] ? 1 : 0;
      if (stream.endMatched == LAST_CHUNK.length) {
        stream.endMatched = 0;
        completed = stream.events >= maxTokens;
      }
    }
    if (completed) {
      measurements.responses++;
      sendRequest(stream);
    }
  }

  private void recordEvent(Stream stream, long now) {
    stream.events++;
    if (stream.events > maxTokens) {
      return;
    }
    measurements.tokens++;
    if (stream.events == 1) {
      measurements.firstToken.recordValue(cappedMicros(now - stream.sentNanos));
    } else {
      measurements.interToken.recordValue(cappedMicros(now - stream.lastEventNanos));
    }
    stream.lastEventNanos = now;
  }

  private static long cappedMicros(long nanos) {
    return Math.min(MAX_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos));
  }

  @Override
  public void close() throws IOException {
    for (SelectionKey key : selector.keys()) {
      key.channel().close();
    }
    selector.close();
  }
}
