package org.heatherspread.node;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the platform's formats and wire names are used only in the platform module. */
@AnalyzeClasses(
    packages = "org.heatherspread",
    importOptions = ImportOption.DoNotIncludeTests.class)
class PlatformIsolationTest {
  /** The platform's wire names, which no other module may contain. */
  private static final List<String> WIRE_NAMES =
      List.of(
          "\"Attempt-Id\"",
          "\"Deadline-Remaining\"",
          "\"Tenant-Name\"",
          "\"Request-Not-Executed\"",
          "\"Server-Signature\"",
          "\"tenants\"",
          "\"api-keys\"",
          "\"spot-capacity\"",
          "\"rows-",
          "/v1/rows",
          "/v1/resolution",
          "\"Fencing-Token\"",
          "\"Duty-Holder\"");

  @ArchTest
  static final ArchRule coreAndRelayDoNotDependOnThePlatform =
      noClasses()
          .that()
          .resideInAnyPackage("org.heatherspread.core..", "org.heatherspread.relay..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.heatherspread.platform..");

  /** A third of the processor time of a start went into an actor system. */
  @ArchTest
  static final ArchRule daemonsOfThePlatformStartNoActorSystem =
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("org.apache.pekko..", "scala..", "com.typesafe..");

  @ArchTest
  static final ArchRule platformDoesNotDependOnDecisionLogic =
      noClasses()
          .that()
          .resideInAPackage("org.heatherspread.platform..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.heatherspread.core.placement..",
              "org.heatherspread.core.admission..",
              "org.heatherspread.core.capacity..",
              "org.heatherspread.core.lease..",
              "org.heatherspread.core.limit..",
              "org.heatherspread.core.retry..");

  @Test
  void wireNamesOccurOnlyInThePlatformModule() throws IOException {
    List<String> found = new ArrayList<>();
    for (String module : List.of("core", "relay", "node")) {
      Path sources = Path.of("..", module, "src", "main", "java");
      try (Stream<Path> files = Files.walk(sources)) {
        for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
          String text = Files.readString(file);
          WIRE_NAMES.stream().filter(text::contains).forEach(word -> found.add(file + " " + word));
        }
      }
    }
    assertThat(found).isEmpty();
  }
}
