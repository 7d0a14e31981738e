package org.heatherspread.daemon.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.math.BigDecimal;
import java.time.Duration;
import java.util.Locale;
import org.heatherspread.core.config.Change;
import org.heatherspread.core.config.Configuration;
import org.heatherspread.core.config.ConfigurationFormat;
import org.heatherspread.core.config.Intent;
import org.heatherspread.core.config.LatencyTarget;
import org.heatherspread.core.config.LogEntry;
import org.heatherspread.core.config.Plan;
import org.heatherspread.core.config.PlanStep;
import org.heatherspread.core.config.ServiceKind;
import org.heatherspread.core.config.VersionState;

/**
 * Reads and writes configurations, intents, plans and log entries as JSON. Property names are in
 * snake case, enum constants in lower case and durations in milliseconds; the property {@code kind}
 * identifies the type of an intent or change.
 *
 * <p>Immutable and thread-safe. Reading methods throw {@link IllegalArgumentException} for invalid
 * texts.
 */
public final class ConfigurationCodec implements ConfigurationFormat {
  private static final ConfigurationCodec SHARED = new ConfigurationCodec();

  private final ObjectMapper mapper;

  private ConfigurationCodec() {
    SimpleModule module = new SimpleModule("heatherspread");
    addEnum(module, ServiceKind.class);
    addEnum(module, VersionState.class);
    addEnum(module, PlanStep.Action.class);
    module.addSerializer(Duration.class, new DurationMillisSerializer());
    module.addDeserializer(Duration.class, new DurationMillisDeserializer());
    mapper =
        JsonMapper.builder()
            .addModule(new Jdk8Module())
            .addModule(module)
            .propertyNamingStrategy(new MillisAwareSnakeCaseStrategy())
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
            .addMixIn(Intent.class, IntentMixIn.class)
            .addMixIn(Change.class, ChangeMixIn.class)
            .addMixIn(LatencyTarget.class, LatencyTargetMixIn.class)
            .build();
  }

  /** Returns the shared instance. */
  public static ConfigurationCodec shared() {
    return SHARED;
  }

  @Override
  public String writeEntry(LogEntry entry) {
    return write(entry);
  }

  @Override
  public LogEntry readEntry(String text) {
    return read(text, LogEntry.class);
  }

  @Override
  public String writePlan(Plan plan) {
    return write(plan);
  }

  @Override
  public Plan readPlan(String text) {
    return read(text, Plan.class);
  }

  @Override
  public String writeConfiguration(Configuration configuration) {
    return write(configuration);
  }

  @Override
  public Configuration readConfiguration(String text) {
    return read(text, Configuration.class);
  }

  /** Reads an intent. */
  public Intent readIntent(String text) {
    return read(text, Intent.class);
  }

  /** Writes an intent. */
  public String writeIntent(Intent intent) {
    try {
      return mapper.writerFor(Intent.class).writeValueAsString(intent);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Writes a value of the operator API as JSON with the same conventions. */
  public String write(Object value) {
    try {
      return mapper.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private <T> T read(String text, Class<T> type) {
    try {
      T value = mapper.readValue(text, type);
      if (value == null) {
        throw new IllegalArgumentException("the JSON text is null");
      }
      return value;
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e.getOriginalMessage(), e);
    }
  }

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
  @JsonSubTypes({
    @JsonSubTypes.Type(value = Intent.PutService.class, name = "put_service"),
    @JsonSubTypes.Type(value = Intent.RetireService.class, name = "retire_service"),
    @JsonSubTypes.Type(value = Intent.PutAccount.class, name = "put_account"),
    @JsonSubTypes.Type(value = Intent.RemoveAccount.class, name = "remove_account"),
    @JsonSubTypes.Type(value = Intent.AddModelVersion.class, name = "add_model_version"),
    @JsonSubTypes.Type(value = Intent.RetireModelVersion.class, name = "retire_model_version"),
    @JsonSubTypes.Type(value = Intent.KeepServing.class, name = "keep_serving"),
    @JsonSubTypes.Type(value = Intent.ReleaseDomain.class, name = "release_domain")
  })
  private interface IntentMixIn {}

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
  @JsonSubTypes({
    @JsonSubTypes.Type(value = Change.PutService.class, name = "put_service"),
    @JsonSubTypes.Type(value = Change.RemoveService.class, name = "remove_service"),
    @JsonSubTypes.Type(value = Change.PutAccount.class, name = "put_account"),
    @JsonSubTypes.Type(value = Change.RemoveAccount.class, name = "remove_account"),
    @JsonSubTypes.Type(value = Change.PutVersion.class, name = "put_version"),
    @JsonSubTypes.Type(value = Change.AddDomain.class, name = "add_domain"),
    @JsonSubTypes.Type(value = Change.RemoveDomain.class, name = "remove_domain")
  })
  private interface ChangeMixIn {}

  private abstract static class LatencyTargetMixIn {
    @JsonProperty("first_token_ms")
    abstract Duration firstToken();

    @JsonProperty("inter_token_ms")
    abstract Duration interToken();
  }

  /** Translates names to snake case and abbreviates the unit {@code _millis} to {@code _ms}. */
  private static final class MillisAwareSnakeCaseStrategy
      extends PropertyNamingStrategies.SnakeCaseStrategy {
    private static final long serialVersionUID = 1L;
    private static final String MILLIS_SUFFIX = "_millis";

    @Override
    public String translate(String propertyName) {
      String name = super.translate(propertyName);
      if (!name.endsWith(MILLIS_SUFFIX)) {
        return name;
      }
      return name.substring(0, name.length() - MILLIS_SUFFIX.length()) + "_ms";
    }
  }

  private static <E extends Enum<E>> void addEnum(SimpleModule module, Class<E> type) {
    module.addSerializer(
        type,
        new JsonSerializer<E>() {
          @Override
          public void serialize(E value, JsonGenerator out, SerializerProvider provider)
              throws IOException {
            out.writeString(value.name().toLowerCase(Locale.ROOT));
          }
        });
    module.addDeserializer(
        type,
        new JsonDeserializer<E>() {
          @Override
          public E deserialize(JsonParser in, DeserializationContext context) throws IOException {
            String text = in.getValueAsString("");
            for (E constant : type.getEnumConstants()) {
              if (constant.name().toLowerCase(Locale.ROOT).equals(text)) {
                return constant;
              }
            }
            throw context.weirdStringException(text, type, "unknown name");
          }
        });
  }

  /** Writes a duration in milliseconds, with decimals if it is not a whole number of them. */
  private static final class DurationMillisSerializer extends JsonSerializer<Duration> {
    @Override
    public void serialize(Duration value, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      out.writeNumber(BigDecimal.valueOf(value.toNanos(), 6).stripTrailingZeros().toPlainString());
    }
  }

  /** Reads a duration in milliseconds. */
  private static final class DurationMillisDeserializer extends JsonDeserializer<Duration> {
    @Override
    public Duration deserialize(JsonParser in, DeserializationContext context) throws IOException {
      if (!in.currentToken().isNumeric()) {
        throw context.weirdStringException(in.getText(), Duration.class, "not a number");
      }
      return Duration.ofNanos(in.getDecimalValue().movePointRight(6).longValue());
    }
  }
}
