package org.heatherspread.daemon.settings;

import java.nio.file.Path;
import java.util.Map;
import org.heatherspread.daemon.address.AddressSettings;
import org.heatherspread.daemon.chat.ChatSettings;
import org.heatherspread.daemon.control.OrderSettings;
import org.heatherspread.daemon.engine.EngineClientSettings;
import org.heatherspread.daemon.limit.LimitSettings;
import org.heatherspread.daemon.permit.PermitSettings;
import org.heatherspread.daemon.plain.PlainSettings;
import org.heatherspread.daemon.poison.PoisonSettings;
import org.heatherspread.daemon.record.RecordSettings;
import org.heatherspread.daemon.routing.RoutingSettings;
import org.heatherspread.daemon.security.PeerTlsSettings;
import org.heatherspread.settings.SettingsReader;

/**
 * All settings of a daemon, from one TOML file. Immutable.
 *
 * @param daemon who the daemon is
 * @param http bounds of the HTTP interface
 * @param platform where the platform's services are
 * @param operators who may operate the deployment
 * @param chat how chat completions are served
 * @param engines connections to model engines
 * @param routing how endpoints are chosen
 * @param limits how the limits of client accounts are shared
 * @param plain how plain services are called
 * @param records records of requests at a second daemon
 * @param permits execution permits and their keys
 * @param poison when requests are refused as poisoned
 * @param orders leases and orders to engines
 * @param peerTls how daemons authenticate each other
 * @param addresses what callers are told of the daemons
 */
public record DaemonSettingsFile(
    DaemonSettings daemon,
    HttpSettings http,
    PlatformSettings platform,
    OperatorSettings operators,
    ChatSettings chat,
    EngineClientSettings engines,
    RoutingSettings routing,
    LimitSettings limits,
    PlainSettings plain,
    RecordSettings records,
    PermitSettings permits,
    PoisonSettings poison,
    OrderSettings orders,
    PeerTlsSettings peerTls,
    AddressSettings addresses) {

  /**
   * Loads a file.
   *
   * @throws org.heatherspread.settings.SettingsException with every fault of the file
   */
  public static DaemonSettingsFile load(Path file) {
    SettingsReader reader = SettingsReader.load(file);
    DaemonSettingsFile settings = read(reader);
    reader.validate();
    return settings;
  }

  /** Returns every key a file may have, with its type, range and default in words. */
  public static Map<String, String> keyDescriptions() {
    SettingsReader reader = SettingsReader.parse("", "");
    read(reader);
    return reader.declaredKeys();
  }

  private static DaemonSettingsFile read(SettingsReader reader) {
    return new DaemonSettingsFile(
        DaemonSettings.read(reader.section("daemon")),
        HttpSettings.read(reader.section("http")),
        PlatformSettings.read(reader.section("platform")),
        OperatorSettings.read(reader.section("operators")),
        ChatSettings.read(reader.section("chat")),
        EngineClientSettings.read(reader.section("engines")),
        RoutingSettings.read(reader.section("routing")),
        LimitSettings.read(reader.section("limits")),
        PlainSettings.read(reader.section("plain")),
        RecordSettings.read(reader.section("records")),
        PermitSettings.read(reader.section("permits")),
        PoisonSettings.read(reader.section("poison")),
        OrderSettings.read(reader.section("orders")),
        PeerTlsSettings.read(reader.section("peer_tls")),
        AddressSettings.read(reader.section("addresses")));
  }
}
