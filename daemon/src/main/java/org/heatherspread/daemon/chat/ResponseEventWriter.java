package org.heatherspread.daemon.chat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import org.apache.pekko.util.ByteString;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.request.FrameKind;
import org.heatherspread.daemon.record.RecordProgress;

/**
 * Writes the events that a caller receives, and accumulates the response text so that another
 * engine can continue the response.
 *
 * <p>Not thread-safe; guarded by the session's monitor.
 */
final class ResponseEventWriter {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final byte[] END_MARKER = "[DONE]".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] EMPTY = new byte[0];

  private final String requestId;
  private final ChatCall call;
  private final long callerOffset;
  private final EscapedTextBuffer responseText;
  private final EventBuffer buffer = new EventBuffer();
  private byte[] finishFrame = EMPTY;
  private byte[] usageFrame = EMPTY;

  private ResponseEventWriter(String requestId, ChatCall call, String prefix, long callerOffset) {
    this.requestId = requestId;
    this.call = call;
    this.callerOffset = callerOffset;
    this.responseText = EscapedTextBuffer.withPrefix(prefix);
  }

  static ResponseEventWriter create(
      String requestId, ChatCall call, RecordProgress progress, long callerOffset) {
    ResponseEventWriter writer =
        new ResponseEventWriter(requestId, call, progress.prefix(), callerOffset);
    if (callerOffset == 0 && progress.baseOffset() > 0) {
      byte[] chunk = writer.createChunk(progress.prefix());
      writer.buffer.appendEvent(progress.baseOffset(), chunk, 0, chunk.length);
    }
    return writer;
  }

  /**
   * Appends the text of a frame, if it has any, and writes the frame unless the caller already has
   * it.
   *
   * @param contentStart first byte of the text, or -1
   */
  void writeFrame(long offset, byte[] bytes, int from, int to, int contentStart) {
    if (contentStart >= 0) {
      responseText.append(bytes, contentStart, to);
    }
    if (offset > callerOffset || callerOffset == 0) {
      buffer.appendEvent(offset, bytes, from, to);
    }
  }

  /** Holds a finish or usage frame until the end marker arrives. */
  void holdFrame(long offset, FrameKind kind, byte[] bytes, int from, int to) {
    byte[] copy = Arrays.copyOfRange(bytes, from, to);
    if (kind == FrameKind.FINISH) {
      finishFrame = copy;
    } else {
      usageFrame = copy;
    }
  }

  /** Discards the held frames of a connection that was replaced. */
  void discardHeldFrames() {
    finishFrame = EMPTY;
    usageFrame = EMPTY;
  }

  /** Writes the held frames and the end marker. */
  void complete(long offset) {
    buffer.appendEvent(offset, finishFrame, 0, finishFrame.length);
    if (usageFrame.length > 0 && (call.includeUsage() || !call.stream())) {
      buffer.appendEvent(offset, usageFrame, 0, usageFrame.length);
    }
    buffer.appendEvent(offset, END_MARKER, 0, END_MARKER.length);
  }

  void writeHeartbeat() {
    buffer.appendHeartbeat();
  }

  /** Returns and clears the bytes to send to the caller. */
  ByteString drain() {
    return buffer.drain();
  }

  /** Returns the response text so far, escaped as in a JSON string, without quotes. */
  String escapedText() {
    return responseText.toEscapedString();
  }

  /**
   * Returns the number of cached prompt tokens that the engine reported at the end of the response;
   * 0 if it reported none.
   */
  long cachedTokens() {
    if (usageFrame.length == 0) {
      return 0;
    }
    try {
      return JSON.readTree(usageFrame)
          .path("usage")
          .path("prompt_tokens_details")
          .path("cached_tokens")
          .asLong(0);
    } catch (IOException e) {
      return 0;
    }
  }

  /** Returns an error event; empty for a caller that did not request a stream. */
  ByteString createErrorEvent(ServingException failure) {
    if (!call.stream()) {
      return ByteString.emptyByteString();
    }
    ErrorKind kind = failure.kind();
    ObjectNode event = JSON.createObjectNode();
    ObjectNode error = event.putObject("error");
    error.put("message", failure.getMessage());
    error.put("type", kind.code());
    error.put("code", kind.status());
    error.put("execution", kind.execution().name().toLowerCase(Locale.ROOT));
    error.put("retry", kind.retry().name().toLowerCase(Locale.ROOT));
    error.put("request_id", requestId);
    EventBuffer errorBuffer = new EventBuffer();
    errorBuffer.appendError(toBytes(event));
    return errorBuffer.drain();
  }

  private byte[] createChunk(String escapedText) {
    ObjectNode chunk = JSON.createObjectNode();
    chunk.put("id", "chatcmpl-" + requestId);
    chunk.put("object", "chat.completion.chunk");
    chunk.put("model", call.modelName());
    ObjectNode choice = chunk.putArray("choices").addObject();
    choice.put("index", 0);
    choice.putObject("delta").putRawValue("content", new RawValue('"' + escapedText + '"'));
    choice.putNull("finish_reason");
    return toBytes(chunk);
  }

  private static byte[] toBytes(ObjectNode node) {
    try {
      return JSON.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize JSON", e);
    }
  }
}
