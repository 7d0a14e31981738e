package org.heatherspread.daemon.membership;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.heatherspread.core.config.ConfigurationFormat;
import org.heatherspread.core.config.LogEntry;
import org.heatherspread.core.membership.ExchangeMessageBuilder;
import org.heatherspread.core.membership.Health;
import org.heatherspread.core.membership.MemberRecord;
import org.heatherspread.core.membership.SharedEntry;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.core.model.InstanceState;
import org.heatherspread.core.model.Market;
import org.heatherspread.protocol.generated.membership.Bucket;
import org.heatherspread.protocol.generated.membership.Description;
import org.heatherspread.protocol.generated.membership.ExchangeMessage;

/**
 * Converts exchange messages between their model and their protocol buffers.
 *
 * <p>Immutable and thread-safe. Decoding methods throw {@link IllegalArgumentException} for
 * messages that this release does not support.
 */
public final class MembershipCodec {
  private static final Health[] HEALTHS = Health.values();
  private static final InstanceKind[] KINDS = InstanceKind.values();
  private static final InstanceState[] STATES = InstanceState.values();
  private static final Market[] MARKETS = Market.values();

  private final ConfigurationFormat format;

  private MembershipCodec(ConfigurationFormat format) {
    this.format = format;
  }

  /** Creates a codec with a format for the entries of the configuration log. */
  public static MembershipCodec create(ConfigurationFormat format) {
    return new MembershipCodec(format);
  }

  /** Encodes a message. */
  public ExchangeMessage encode(org.heatherspread.core.membership.ExchangeMessage message) {
    ExchangeMessage.Builder out =
        ExchangeMessage.newBuilder()
            .setSenderId(message.senderId())
            .setSenderIncarnation(message.senderIncarnation())
            .setConfigVersion(message.configVersion())
            .setRoot(message.root())
            .setSpread(message.spread());
    for (int sum : message.sums()) {
      out.addSums(sum);
    }
    for (Map.Entry<Integer, long[]> entry : message.buckets().entrySet()) {
      Bucket.Builder bucket = Bucket.newBuilder().setIndex(entry.getKey());
      for (long fingerprint : entry.getValue()) {
        bucket.addFingerprints(fingerprint);
      }
      out.addBuckets(bucket);
    }
    for (long fingerprint : message.wants()) {
      out.addWants(fingerprint);
    }
    for (MemberRecord record : message.members()) {
      out.addMembers(encodeMember(record));
    }
    for (SharedEntry entry : message.entries()) {
      out.addEntries(encodeEntry(entry));
    }
    return out.addAllLog(encodeLog(message.log())).build();
  }

  /** Decodes a message. */
  public org.heatherspread.core.membership.ExchangeMessage decode(ExchangeMessage in) {
    Map<Integer, long[]> buckets = new HashMap<>();
    for (Bucket bucket : in.getBucketsList()) {
      buckets.put(bucket.getIndex(), toLongArray(bucket.getFingerprintsList()));
    }
    List<MemberRecord> members = new ArrayList<>();
    for (var record : in.getMembersList()) {
      members.add(decodeMember(record));
    }
    List<SharedEntry> entries = new ArrayList<>();
    for (var entry : in.getEntriesList()) {
      entries.add(decodeEntry(entry));
    }
    return new ExchangeMessageBuilder(
            in.getSenderId(), in.getSenderIncarnation(), in.getConfigVersion())
        .root(in.getRoot())
        .sums(in.getSumsList().stream().mapToInt(Integer::intValue).toArray())
        .buckets(buckets)
        .wants(toLongArray(in.getWantsList()))
        .spread(in.getSpread())
        .items(members, entries)
        .log(decodeLog(in.getLogList()))
        .build();
  }

  private static long[] toLongArray(List<Long> values) {
    return values.stream().mapToLong(Long::longValue).toArray();
  }

  /** Encodes entries of the configuration log. */
  public List<ByteString> encodeLog(List<LogEntry> log) {
    List<ByteString> texts = new ArrayList<>();
    for (LogEntry entry : log) {
      texts.add(ByteString.copyFromUtf8(format.writeEntry(entry)));
    }
    return texts;
  }

  /** Decodes entries of the configuration log. */
  public List<LogEntry> decodeLog(List<ByteString> texts) {
    List<LogEntry> log = new ArrayList<>();
    for (ByteString text : texts) {
      log.add(format.readEntry(text.toStringUtf8()));
    }
    return log;
  }

  private static org.heatherspread.protocol.generated.membership.SharedEntry encodeEntry(
      SharedEntry entry) {
    return org.heatherspread.protocol.generated.membership.SharedEntry.newBuilder()
        .setTopic(entry.topic())
        .setKey(entry.key())
        .setVersion(entry.version())
        .setOrigin(entry.origin())
        .setValue(ByteString.copyFrom(entry.value()))
        .setExpiresAtMillis(entry.expiresAtMillis())
        .build();
  }

  private static SharedEntry decodeEntry(
      org.heatherspread.protocol.generated.membership.SharedEntry in) {
    return new SharedEntry(
        in.getTopic(),
        in.getKey(),
        in.getVersion(),
        in.getOrigin(),
        in.getValue().toByteArray(),
        in.getExpiresAtMillis());
  }

  private static org.heatherspread.protocol.generated.membership.MemberRecord encodeMember(
      MemberRecord record) {
    var out =
        org.heatherspread.protocol.generated.membership.MemberRecord.newBuilder()
            .setId(record.id())
            .setIncarnation(record.incarnation())
            .setRefutation(record.refutation())
            .setHealth(record.health().ordinal())
            .setLeavingAtMillis(record.leavingAtMillis());
    record.instance().ifPresent(instance -> out.setDescription(encodeDescription(instance)));
    return out.build();
  }

  private static Description encodeDescription(Instance instance) {
    return Description.newBuilder()
        .setKind(instance.kind().ordinal())
        .setService(instance.service())
        .setRegion(instance.domain().region())
        .setDomain(instance.domain().name())
        .setHost(instance.host())
        .setPort(instance.port())
        .setPeerPort(instance.peerPort())
        .setMachineClass(instance.machineClass())
        .setMarket(instance.market().ordinal())
        .setPricePerHour(instance.pricePerHour())
        .setState(instance.state().ordinal())
        .build();
  }

  private static MemberRecord decodeMember(
      org.heatherspread.protocol.generated.membership.MemberRecord in) {
    Optional<Instance> instance =
        in.hasDescription() ? Optional.of(decodeInstance(in)) : Optional.empty();
    return new MemberRecord(
        in.getId(),
        in.getIncarnation(),
        in.getRefutation(),
        constantOf(HEALTHS, in.getHealth()),
        in.getLeavingAtMillis(),
        instance);
  }

  private static Instance decodeInstance(
      org.heatherspread.protocol.generated.membership.MemberRecord in) {
    Description description = in.getDescription();
    long leavingAt = in.getLeavingAtMillis();
    return new Instance(
        in.getId(),
        in.getIncarnation(),
        constantOf(KINDS, description.getKind()),
        description.getService(),
        new FailureDomain(description.getRegion(), description.getDomain()),
        description.getHost(),
        description.getPort(),
        description.getPeerPort(),
        description.getMachineClass(),
        constantOf(MARKETS, description.getMarket()),
        description.getPricePerHour(),
        constantOf(STATES, description.getState()),
        leavingAt == 0 ? Optional.empty() : Optional.of(leavingAt));
  }

  private static <E> E constantOf(E[] constants, int ordinal) {
    if (ordinal < 0 || ordinal >= constants.length) {
      throw new IllegalArgumentException("unknown constant " + ordinal);
    }
    return constants[ordinal];
  }
}
