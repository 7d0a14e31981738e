package org.heatherspread.standin;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.heatherspread.standin.http.JsonHttp;

/**
 * The record of what truly ran on an endpoint, one JSON object a line. Each line is written by one
 * system call, so that it outlives the process once {@link #write} returns.
 *
 * <p>Safe for use by any thread.
 */
public final class ExecutionLog implements AutoCloseable {
  private final OutputStream output;

  private ExecutionLog(OutputStream output) {
    this.output = output;
  }

  /** What happened to a run. */
  public enum Event {
    /** The run began; whatever it does may have taken effect. */
    @JsonProperty("started")
    STARTED,
    /** The run ended with its answer. */
    @JsonProperty("finished")
    FINISHED,
    /** The run was stopped before its end. */
    @JsonProperty("cancelled")
    CANCELLED,
    /** The run was refused before it began. */
    @JsonProperty("refused")
    REFUSED
  }

  /**
   * One line.
   *
   * @param t milliseconds since the epoch
   * @param instance id of the endpoint
   * @param requestId the request's id
   * @param attempt the attempt's number
   * @param idempotencyKey key of the request, if it brought one
   * @param event what happened
   * @param tokens prompt tokens computed where started, answer tokens generated where ended
   * @param recomputedTokens prompt and answer tokens computed for an attempt after the first
   * @param answerSha256 hash of the whole answer where finished
   * @param detail the call of a plain service, or the reason of a refusal
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  @JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
  public record Entry(
      long t,
      String instance,
      String requestId,
      long attempt,
      String idempotencyKey,
      Event event,
      int tokens,
      int recomputedTokens,
      String answerSha256,
      String detail) {}

  /** Opens a ledger that appends to a file, or one that keeps nothing if the path is null. */
  public static ExecutionLog open(Path path) {
    if (path == null) {
      return new ExecutionLog(OutputStream.nullOutputStream());
    }
    try {
      return new ExecutionLog(
          Files.newOutputStream(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
    } catch (IOException e) {
      throw new UncheckedIOException("Cannot open ledger " + path, e);
    }
  }

  /** Appends one line. */
  public void write(Entry entry) {
    byte[] line = (JsonHttp.toJson(entry) + "\n").getBytes(StandardCharsets.UTF_8);
    synchronized (this) {
      try {
        output.write(line);
        output.flush();
      } catch (IOException e) {
        throw new UncheckedIOException("Cannot write ledger", e);
      }
    }
  }

  /** Returns the SHA-256 of an answer in hexadecimal. */
  public static String sha256(byte[] data) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(data));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() throws IOException {
    output.close();
  }
}
