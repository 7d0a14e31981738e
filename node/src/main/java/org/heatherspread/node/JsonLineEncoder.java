package org.heatherspread.node;

import ch.qos.logback.classic.pattern.TargetLengthBasedClassNameAbbreviator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.event.KeyValuePair;

/**
 * Encodes each log event as one line of JSON: time, message, logger, level, stack trace and the
 * key-value pairs of the event, in this order. Writes common types of values without data binding,
 * whose classes would have to be loaded for the first line of a process. Confined to one thread.
 */
final class JsonLineEncoder extends EncoderBase<ILoggingEvent> {
  private static final int INITIAL_LINE_BYTES = 256;
  private static final int MAX_CACHED_LOGGERS = 500;

  private final JsonFactory factory = new JsonFactory();
  private final TargetLengthBasedClassNameAbbreviator abbreviator;
  private final Map<String, String> abbreviations = new HashMap<>();

  /** Created by the first value that needs data binding. */
  private static final class Binding {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Binding() {}
  }

  /**
   * Creates an encoder.
   *
   * @param loggerNameLength length to which names of loggers are abbreviated where possible
   */
  JsonLineEncoder(int loggerNameLength) {
    this.abbreviator = new TargetLengthBasedClassNameAbbreviator(loggerNameLength);
  }

  @Override
  public byte[] headerBytes() {
    return null;
  }

  @Override
  public byte[] footerBytes() {
    return null;
  }

  @Override
  public byte[] encode(ILoggingEvent event) {
    ByteArrayOutputStream line = new ByteArrayOutputStream(INITIAL_LINE_BYTES);
    try (JsonGenerator generator = factory.createGenerator(line)) {
      generator.writeStartObject();
      generator.writeStringField("time", event.getInstant().toString());
      generator.writeStringField("message", event.getFormattedMessage());
      generator.writeStringField("logger", abbreviate(event.getLoggerName()));
      generator.writeStringField("level", event.getLevel().toString());
      if (event.getThrowableProxy() != null) {
        generator.writeStringField(
            "stack_trace", ThrowableProxyUtil.asString(event.getThrowableProxy()));
      }
      List<KeyValuePair> pairs = event.getKeyValuePairs();
      if (pairs != null) {
        for (KeyValuePair pair : pairs) {
          generator.writeFieldName(pair.key);
          writeValue(generator, pair.value);
        }
      }
      generator.writeEndObject();
      generator.writeRaw('\n');
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return line.toByteArray();
  }

  private String abbreviate(String logger) {
    if (abbreviations.size() >= MAX_CACHED_LOGGERS) {
      abbreviations.clear();
    }
    return abbreviations.computeIfAbsent(logger, abbreviator::abbreviate);
  }

  private static void writeValue(JsonGenerator generator, Object value) throws IOException {
    if (value == null) {
      generator.writeNull();
    } else if (value instanceof String text) {
      generator.writeString(text);
    } else if (value instanceof Integer || value instanceof Long) {
      generator.writeNumber(((Number) value).longValue());
    } else if (value instanceof Double number) {
      generator.writeNumber(number);
    } else if (value instanceof Boolean flag) {
      generator.writeBoolean(flag);
    } else {
      Binding.MAPPER.writeValue(generator, value);
    }
  }
}
