package org.heatherspread.daemon.chat;

import org.heatherspread.core.config.ModelVersion;

/**
 * Model name of a request: {@code SERVICE} or {@code SERVICE@VERSION}, optionally followed by
 * {@code :ADAPTER}. Immutable.
 *
 * @param service service name
 * @param version requested version, or empty for the newest active version
 * @param adapter requested adapter, or empty
 */
record ModelName(String service, String version, String adapter) {
  static ModelName parse(String name) {
    int colon = name.indexOf(':');
    String model = colon < 0 ? name : name.substring(0, colon);
    String adapter = colon < 0 ? "" : name.substring(colon + 1);
    int at = model.indexOf('@');
    String service = at < 0 ? model : model.substring(0, at);
    String version = at < 0 ? "" : model.substring(at + 1);
    return new ModelName(service, version, adapter);
  }

  String adapterSuffix() {
    return adapter.isEmpty() ? "" : ":" + adapter;
  }

  boolean matches(ModelVersion candidate) {
    boolean versionMatches = version.isEmpty() || version.equals(candidate.version());
    return versionMatches && (adapter.isEmpty() || candidate.adapters().contains(adapter));
  }
}
