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
 * Writes an append-only log of the executions on an endpoint, one JSON object per line. Benchmarks
 * compare it with the responses that callers received. Each line is written by one system call, so
 * that it survives a crash of the process once {@link #write} has returned.
 *
 * <p>Thread-safe.
 */
public final class ExecutionLog implements AutoCloseable {
  private final OutputStream output;

  private ExecutionLog(OutputStream output) {
    this.output = output;
  }

  /** An event in the execution of a request. */
  public enum Event {
    /** The execution began; the request may have taken effect from here on. */
    @JsonProperty("started")
    STARTED,
    /** The execution completed with a response. */
    @JsonProperty("finished")
    FINISHED,
    /** The execution was stopped before completion. */
    @JsonProperty("cancelled")
    CANCELLED,
    /** The request was refused before execution. */
    @JsonProperty("refused")
    REFUSED
  }

  /**
   * A line of the log. Immutable.
   *
   * @param t milliseconds since the epoch
   * @param instance id of the endpoint
   * @param requestId id of the request
   * @param attempt number of the attempt
   * @param idempotencyKey idempotency key of the request, or null
   * @param event the event
   * @param tokens prompt tokens to be computed for a start, generated answer tokens for an end
   * @param recomputedTokens tokens to be computed again by an attempt that repeats or continues an
   *     earlier one
   * @param answerSha256 SHA-256 of the complete answer in hexadecimal if finished, otherwise null
   * @param detail method and path of a call to a plain service, or the reason of a refusal or
   *     cancellation
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

  /** Opens a log that appends to a file, or one that discards its entries if the path is null. */
  public static ExecutionLog open(Path path) {
    if (path == null) {
      return new ExecutionLog(OutputStream.nullOutputStream());
    }
    try {
      return new ExecutionLog(
          Files.newOutputStream(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
    } catch (IOException e) {
      throw new UncheckedIOException("Cannot open execution log " + path, e);
    }
  }

  /** Appends an entry; fails with {@link UncheckedIOException}. */
  public void write(Entry entry) {
    byte[] line = (JsonHttp.toJson(entry) + "\n").getBytes(StandardCharsets.UTF_8);
    synchronized (this) {
      try {
        output.write(line);
        output.flush();
      } catch (IOException e) {
        throw new UncheckedIOException("Cannot write execution log", e);
      }
    }
  }

  /** Returns the SHA-256 of the data in hexadecimal. */
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
