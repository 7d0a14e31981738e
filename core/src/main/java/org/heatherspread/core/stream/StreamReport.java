package org.heatherspread.core.stream;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * What a daemon reports of the streams that it began, so that they can be resumed after all daemons
 * were killed. Immutable; stored as JSON under the names of its components.
 *
 * <p>A daemon begins streams according to the splits of its last written report. While a service
 * has several versions, the report names the open streams besides. A stream that no report names
 * therefore began after the last report of its daemon, at the version to which the splits in that
 * report assign it.
 *
 * @param era era of the store in which the report was written; a report of an earlier era may be
 *     older than the daemon's last one
 * @param complete whether all open streams are named that need to be
 * @param splits splits by which streams of each service may begin until the next report
 * @param versions versions of each service at which recent streams began
 * @param open streams that may be resumed, of services with several recent versions
 * @param startedAtStoreMillis time on the store's clock by which all earlier processes of the
 *     daemon had ended, 0 if unknown
 * @param resumableMillis longest time for which callers may resume a stream after its first event,
 *     0 if unknown
 */
public record StreamReport(
    long era,
    boolean complete,
    Map<String, List<VersionSplit>> splits,
    Map<String, Set<String>> versions,
    List<OpenStream> open,
    long startedAtStoreMillis,
    long resumableMillis) {
  /** Stands for the report of a daemon of an earlier version, which proves nothing. */
  public static final StreamReport UNKNOWN =
      new StreamReport(-1, false, Map.of(), Map.of(), List.of(), 0, 0);

  /** Copies the collections to keep the record immutable. */
  public StreamReport {
    splits = Map.copyOf(splits);
    versions = Map.copyOf(versions);
    open = List.copyOf(open);
  }

  /** A stream that may be resumed. Immutable. */
  public record OpenStream(String attemptId, String service, String version) {}

  /** Returns the origin of a stream that one of the reports names. */
  public static Optional<StreamOrigin> findOpen(
      Collection<StreamReport> reports, String attemptId) {
    for (StreamReport report : reports) {
      for (OpenStream stream : report.open) {
        if (stream.attemptId.equals(attemptId)) {
          return Optional.of(new StreamOrigin(stream.service, stream.version));
        }
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the version at which a stream began that no report names.
   *
   * @param reports reports of all daemons that may have begun it, also of those that ended
   * @param era present era of the store
   * @return empty if there may be several
   */
  public static Optional<String> findAssigned(
      Collection<StreamReport> reports, long era, String attemptId, String service) {
    if (!areComplete(reports, era)) {
      return Optional.empty();
    }
    Set<String> versions = new TreeSet<>();
    for (StreamReport report : reports) {
      for (VersionSplit split : report.splits.getOrDefault(service, List.of())) {
        versions.add(split.versionOf(attemptId));
      }
    }
    return versions.size() == 1 ? Optional.of(versions.iterator().next()) : Optional.empty();
  }

  /**
   * Returns the only version at which recent streams of a service may have begun.
   *
   * @param reports reports of all daemons that may have begun them, also of those that ended
   * @param era present era of the store
   * @param registered versions of the registered endpoints of the service
   * @return empty if there are several, or if the reports may be incomplete
   */
  public static Optional<String> findSingleVersion(
      Collection<StreamReport> reports, long era, String service, Set<String> registered) {
    if (!areOfEra(reports, era)) {
      return Optional.empty();
    }
    Set<String> versions = new TreeSet<>(registered);
    for (StreamReport report : reports) {
      versions.addAll(report.versions.getOrDefault(service, Set.of()));
      for (VersionSplit split : report.splits.getOrDefault(service, List.of())) {
        split.parts().forEach(part -> versions.add(part.version()));
      }
    }
    return versions.size() == 1 ? Optional.of(versions.iterator().next()) : Optional.empty();
  }

  private static boolean areComplete(Collection<StreamReport> reports, long era) {
    return areOfEra(reports, era) && reports.stream().allMatch(StreamReport::complete);
  }

  /**
   * Returns whether there are reports and all were written in the present era. If all are of an
   * earlier one, a daemon that started after a restore reads them from the copy, which may lack the
   * last ones.
   */
  private static boolean areOfEra(Collection<StreamReport> reports, long era) {
    return !reports.isEmpty()
        && reports.stream().allMatch(report -> report != UNKNOWN && report.era == era);
  }
}
