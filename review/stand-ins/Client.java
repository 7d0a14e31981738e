import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client of one channel. */
final class Client implements AutoCloseable {
  /** An answer; status 0 if there was none. */
  record Answer(int status, String head, byte[] body, boolean complete, String error) {
    String header(String name) {
      for (String line : head.split("\r\n")) {
        if (line.toLowerCase().startsWith(name.toLowerCase() + ":")) {
          return line.substring(name.length() + 1).trim();
        }
      }
      return "";
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  final Socket socket = new Socket();
  final InputStream in;

  Client(int port, int receiveBuffer) throws IOException {
    if (receiveBuffer > 0) {
      socket.setReceiveBufferSize(receiveBuffer);
    }
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
    in = receiveBuffer > 0 ? socket.getInputStream() : new BufferedInputStream(socket.getInputStream());
  }

  static String head(String method, String path, String attempt, long deadline, int length, String more) {
    return "%s %s HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nDeadline-Remaining: %d\r\n"
            .formatted(method, path, attempt, deadline)
        + (length >= 0 ? "Content-Length: " + length + "\r\n" : "")
        + more
        + "\r\n";
  }

  void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Reads a whole answer, with a pause after each block of a body to read at a given pace. */
  Answer read(int timeoutMillis, long bytesPerSecond) {
    String head = "";
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    int status = 0;
    try {
      socket.setSoTimeout(timeoutMillis);
      StringBuilder read = new StringBuilder();
      String line = Worker.line(in);
      if (line == null) {
        return new Answer(0, "", new byte[0], false, "closed without an answer");
      }
      for (; line != null && !line.isEmpty(); line = Worker.line(in)) {
        read.append(line).append("\r\n");
      }
      head = read.toString();
      status = Integer.parseInt(head.split(" ")[1]);
      Answer partial = new Answer(status, head, new byte[0], false, "");
      String length = partial.header("Content-Length");
      if (!length.isEmpty()) {
        copy(body, Integer.parseInt(length), bytesPerSecond);
      } else if (partial.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
        while (true) {
          String size = Worker.line(in);
          if (size == null) {
            throw new IOException("closed between chunks");
          }
          int count = Integer.parseInt(size.trim(), 16);
          if (count > 0) {
            copy(body, count, bytesPerSecond);
          }
          Worker.line(in);
          if (count == 0) {
            break;
          }
        }
      }
      return new Answer(status, head, body.toByteArray(), true, "");
    } catch (IOException | RuntimeException e) {
      return new Answer(status, head, body.toByteArray(), false, String.valueOf(e));
    }
  }

  private void copy(ByteArrayOutputStream body, int count, long bytesPerSecond) throws IOException {
    byte[] block = new byte[16_384];
    long startNanos = System.nanoTime();
    int done = 0;
    while (done < count) {
      int got = in.read(block, 0, Math.min(block.length, count - done));
      if (got < 0) {
        throw new IOException("closed after " + (body.size()) + " bytes of the body");
      }
      body.write(block, 0, got);
      done += got;
      if (bytesPerSecond > 0) {
        long dueNanos = (long) (done * 1e9 / bytesPerSecond);
        long pauseMillis = (dueNanos - (System.nanoTime() - startNanos)) / 1_000_000;
        if (pauseMillis > 0) {
          try {
            Thread.sleep(pauseMillis);
          } catch (InterruptedException e) {
            throw new IOException(e);
          }
        }
      }
    }
  }

  /** Sends one request on a new channel and reads its answer. */
  static Answer call(int port, String request, int timeoutMillis) {
    try (Client client = new Client(port, 0)) {
      client.send(request);
      return client.read(timeoutMillis, 0);
    } catch (IOException e) {
      return new Answer(0, "", new byte[0], false, String.valueOf(e));
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
