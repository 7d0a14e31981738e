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

/** Writes the settings files of the daemons of a fleet. Stateless and thread-safe. */
final class DaemonSettingsWriter {
  static final String OPERATOR_KEY = "operator-key";
  private static final String PERMIT_KEY = "5f".repeat(32);

  private DaemonSettingsWriter() {}

  static String sha256Hex(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  static Path write(
      Path dir,
      Deployment deployment,
      String id,
      String domain,
      PlatformUrls platformUrls,
      int[] ports)
      throws IOException {
    String settings =
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
                platformUrls.tableUrl(),
                platformUrls.cloudUrl(),
                platformUrls.cloudUrl(),
                sha256Hex(OPERATOR_KEY));
    Map<String, String> knownKeys = DaemonSettingsFile.keyDescriptions();
    if (knownKeys.containsKey("permits.key")) {
      settings += "\n[permits]\nkey_id = \"k1\"\nkey = \"" + PERMIT_KEY + "\"\n";
    }
    return Files.writeString(dir.resolve(id + ".toml"), settings);
  }

  /** Base URLs of the platform's stand-ins. */
  record PlatformUrls(String tableUrl, String cloudUrl) {}
}
