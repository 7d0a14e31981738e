package org.heatherspread.bench.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import org.heatherspread.daemon.settings.DaemonSettingsFile;

/** Writes the settings files of a fleet's daemons. Stateless; safe for use by any thread. */
final class DaemonConfigFile {
  static final String OPERATOR_KEY = "operator-key";
  private static final String PERMIT_KEY = "5f".repeat(32);

  private DaemonConfigFile() {}

  static String sha256(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  static Path write(
      Path dir, Deployment deployment, String id, String domain, Platform platform, int[] ports)
      throws IOException {
    String text =
        """
        [daemon]
        id = "%s"
        region = "%s"
        domain = "%s"
        host = "127.0.0.1"
        http_port = %d
        peer_port = %d
        drain_timeout = "20s"

        [platform]
        table_url = "%s"
        instance_list_url = "%s"
        cloud_url = "%s"

        [operators]
        keys = ["bench:%s"]
        """
            .formatted(
                id,
                deployment.region(),
                domain,
                ports[0],
                ports[1],
                platform.tableUrl(),
                platform.cloudUrl(),
                platform.cloudUrl(),
                sha256(OPERATOR_KEY));
    Map<String, String> keys = DaemonSettingsFile.keyDescriptions();
    if (keys.containsKey("permits.key")) {
      text += "\n[permits]\nkey_id = \"k1\"\nkey = \"" + PERMIT_KEY + "\"\n";
    }
    return Files.writeString(dir.resolve(id + ".toml"), text);
  }

  /** Base URLs of the stand-ins of the platform. */
  record Platform(String tableUrl, String cloudUrl) {}
}
