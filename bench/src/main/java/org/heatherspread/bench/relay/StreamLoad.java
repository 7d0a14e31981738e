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
 * Holds a number of chat streams open from one thread, each asking anew when its answer ends, and
 * measures them. Counts events, not bytes; reads no JSON.
 *
 * <p>Confined to one thread.
 */
final class StreamLoad implements AutoCloseable {
  private static final byte[] DATA = "\ndata: ".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] LAST = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] STATUS = "HTTP/1.1 200".getBytes(StandardCharsets.US_ASCII);
  private static final int READ_BYTES = 65_536;
  private static final long HIGHEST_MICROS = TimeUnit.MINUTES.toMicros(5);

  private final Selector selector = Selector.open();
  private final ByteBuffer buffer = ByteBuffer.allocate(READ_BYTES);
  private final int[] ports;
  private final String path;
  private final int maxTokens;
  private final boolean direct;
  private Figures figures = new Figures();
  private long nextId;

  /** What was measured, in microseconds. */
  static final class Figures {
    final Histogram firstToken = new Histogram(HIGHEST_MICROS, 3);
    final Histogram interToken = new Histogram(HIGHEST_MICROS, 3);
    long tokens;
    long answers;
    long failures;
  }

  /** One connection and its answer in progress. */
  private static final class Stream {
    private final SocketChannel channel;
    private final long asksAt;
    private long sentAt;
    private long lastAt;
    private int events;
    private int matched;
    private int lastMatched;
    private boolean first;

    Stream(SocketChannel channel, long asksAt) {
      this.channel = channel;
      this.asksAt = asksAt;
    }
  }

  private StreamLoad(int[] ports, String path, int maxTokens, boolean direct) throws IOException {
    this.ports = ports;
    this.path = path;
    this.maxTokens = maxTokens;
    this.direct = direct;
  }

  /** Creates a load on servers at loopback; {@code direct} adds what a daemon sends to engines. */
  static StreamLoad create(int[] ports, int maxTokens, boolean direct) throws IOException {
    return new StreamLoad(ports, "/v1/chat/completions", maxTokens, direct);
  }

  /** Opens streams, which begin evenly spread over an interval. */
  void open(int count, long spreadMillis) throws IOException {
    long now = System.nanoTime();
    for (int i = 0; i < count; i++) {
      SocketChannel channel = SocketChannel.open();
      channel.connect(new InetSocketAddress("127.0.0.1", ports[i % ports.length]));
      channel.configureBlocking(false);
      channel.socket().setTcpNoDelay(true);
      long asksAt = now + TimeUnit.MILLISECONDS.toNanos(spreadMillis) * i / count;
      channel.register(selector, SelectionKey.OP_READ, new Stream(channel, asksAt));
    }
  }

  /** Runs for an interval and returns what was measured in it. */
  Figures run(long millis) throws IOException {
    figures = new Figures();
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() < end) {
      askPending();
      selector.select(5);
      Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
      while (keys.hasNext()) {
        SelectionKey key = keys.next();
        keys.remove();
        read((Stream) key.attachment(), key);
      }
    }
    return figures;
  }

  private void askPending() throws IOException {
    long now = System.nanoTime();
    for (SelectionKey key : selector.keys()) {
      Stream stream = (Stream) key.attachment();
      if (key.isValid() && stream.sentAt == 0 && now >= stream.asksAt) {
        ask(stream);
      }
    }
  }

  private void ask(Stream stream) throws IOException {
    long id = nextId++;
    String body =
        "{\"model\":\""
            + (direct ? RelayProcess.MODEL + "@v1" : RelayProcess.MODEL)
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
            + RelayProcess.KEY
            + "\r\n"
            + (direct ? "X-Request-Id: direct-" + id + "\r\nX-Attempt: 1\r\n" : "")
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    stream.sentAt = System.nanoTime();
    stream.events = 0;
    stream.first = true;
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
      figures.failures++;
      key.cancel();
      stream.channel.close();
      return;
    }
    long now = System.nanoTime();
    if (stream.first && count >= STATUS.length) {
      stream.first = false;
      figures.failures += startsWithStatus() ? 0 : 1;
    }
    scan(stream, count, now);
  }

  private boolean startsWithStatus() {
    for (int i = 0; i < STATUS.length; i++) {
      if (buffer.get(i) != STATUS[i]) {
        return false;
      }
    }
    return true;
  }

  private void scan(Stream stream, int count, long now) throws IOException {
    byte[] bytes = buffer.array();
    boolean ended = false;
    for (int i = 0; i < count; i++) {
      byte b = bytes[i];
      stream.matched = b == DATA[stream.matched] ? stream.matched + 1 : b == DATA[0] ? 1 : 0;
      if (stream.matched == DATA.length) {
        stream.matched = 0;
        event(stream, now);
      }
      stream.lastMatched =
          b == LAST[stream.lastMatched] ? stream.lastMatched + 1 : b == LAST[0] ? 1 : 0;
      if (stream.lastMatched == LAST.length) {
        stream.lastMatched = 0;
        ended = stream.events >= maxTokens;
      }
    }
    if (ended) {
      figures.answers++;
      ask(stream);
    }
  }

  private void event(Stream stream, long now) {
    stream.events++;
    if (stream.events > maxTokens) {
      return;
    }
    figures.tokens++;
    if (stream.events == 1) {
      figures.firstToken.recordValue(micros(now - stream.sentAt));
    } else {
      figures.interToken.recordValue(micros(now - stream.lastAt));
    }
    stream.lastAt = now;
  }

  private static long micros(long nanos) {
    return Math.min(HIGHEST_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos));
  }

  @Override
  public void close() throws IOException {
    for (SelectionKey key : selector.keys()) {
      key.channel().close();
    }
    selector.close();
  }
}
