import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: what was sent, answered and run, with the time since the start. */
final class Record {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  synchronized void line(String format, Object... values) {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    out.printf("%8.3f  %s%n", seconds, String.format(format, values));
  }

  synchronized void flush() {
    out.flush();
  }
}
