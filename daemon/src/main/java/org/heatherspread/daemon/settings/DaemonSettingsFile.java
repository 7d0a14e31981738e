package org.heatherspread.daemon.settings;

import java.nio.file.Path;
import java.util.Map;
import org.heatherspread.daemon.address.AddressSettings;
import org.heatherspread.daemon.chat.ChatSettings;
import org.heatherspread.daemon.control.ReconciliationSettings;
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
 * All settings of a daemon, read from one TOML file. Immutable.
 *
 * @param daemon identity and addresses of the daemon
 * @param http limits of the HTTP interface
 * @param platform addresses and credentials of the platform's services
 * @param operators operators of the deployment
 * @param chat chat completions
 * @param engines connections to model engines
 * @param routing selection of endpoints
 * @param limits sharing of client account limits between daemons
 * @param plain calls to plain services
 * @param records request records replicated to a second daemon
 * @param permits execution permits and their keys
 * @param poison detection of poison requests
 * @param orders leases and orders to engines
 * @param peerTls mutual TLS between daemons
 * @param addresses the daemon addresses given to callers
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
    ReconciliationSettings orders,
    PeerTlsSettings peerTls,
    AddressSettings addresses) {

  /**
   * Loads a file.
   *
   * @throws org.heatherspread.settings.SettingsException with all problems of the file
   */
  public static DaemonSettingsFile load(Path file) {
    SettingsReader reader = SettingsReader.load(file);
    DaemonSettingsFile settings = read(reader);
    reader.validate();
    return settings;
  }

  /** Returns every supported key with a description of its type, range and default. */
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
        ReconciliationSettings.read(reader.section("orders")),
        PeerTlsSettings.read(reader.section("peer_tls")),
        AddressSettings.read(reader.section("addresses")));
  }
}
