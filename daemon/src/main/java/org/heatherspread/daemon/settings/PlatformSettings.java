package org.heatherspread.daemon.settings;

import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import org.heatherspread.settings.Section;

/**
 * Addresses and credentials of the platform's services. Immutable.
 *
 * @param tableUrl base URL of the table service
 * @param tableName name of the deployment's table
 * @param tableRegion region name that the table service expects in signatures
 * @param accessKey access key of the table service
 * @param secretKey secret key of the table service
 * @param instanceListUrl base URL of the instance list
 * @param cloudUrl base URL of the cloud API
 * @param timeout time limit of a call to the platform
 */
public record PlatformSettings(
    URI tableUrl,
    String tableName,
    String tableRegion,
    String accessKey,
    String secretKey,
    URI instanceListUrl,
    URI cloudUrl,
    Duration timeout) {
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(2);

  /** Reads the section {@code [platform]}. */
  public static PlatformSettings read(Section section) {
    return new PlatformSettings(
        readUrl(section, "table_url"),
        section.text("table_name", "heatherspread"),
        section.text("table_region", "local"),
        section.text("access_key", ""),
        section.text("secret_key", ""),
        readUrl(section, "instance_list_url"),
        readUrl(section, "cloud_url"),
        section.duration(
            "timeout", DEFAULT_TIMEOUT, Duration.ofMillis(100), Duration.ofSeconds(30)));
  }

  private static URI readUrl(Section section, String name) {
    String text = section.text(name);
    try {
      URI url = new URI(text);
      if (!text.isEmpty() && (url.getHost() == null || url.getScheme() == null)) {
        section.addProblem(name, "must be a URL such as \"http://10.0.0.5:8000\"");
      }
      return url;
    } catch (URISyntaxException e) {
      section.addProblem(name, "not a URL: " + e.getReason());
      return URI.create("");
    }
  }
}
