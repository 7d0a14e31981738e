package org.heatherspread.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks that the decision logic uses no threads, network, files or frameworks. */
@AnalyzeClasses(
    packages = "org.heatherspread.core",
    importOptions = ImportOption.DoNotIncludeTests.class)
class CoreDependencyTest {
  @ArchTest
  static final ArchRule coreDoesNoInputOrOutput =
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.net..",
              "java.nio.channels..",
              "java.nio.file..",
              "org.apache.pekko..",
              "io.grpc..",
              "software.amazon..",
              "org.slf4j..");

  @ArchTest
  static final ArchRule coreStartsNoThreadAndDoesNotSleep =
      noClasses()
          .should()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.lang.Thread")
          .orShould()
          .dependOnClassesThat()
          .haveSimpleNameEndingWith("ExecutorService");
}
