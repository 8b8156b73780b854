package willowyoke;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * How the packages may lean on each other: a reader finds the room by its name, and a core stays
 * one.
 */
@AnalyzeClasses(packages = "willowyoke", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  /** What decides: the decision module with its seam, and the cores of subsystems as they come. */
  private static final DescribedPredicate<JavaClass> CORES =
      DescribedPredicate.describe(
          "are cores",
          c ->
              c.getPackageName().equals("willowyoke.membership")
                  || c.getPackageName().equals("willowyoke.subset")
                  || c.getName()
                      .matches("willowyoke\\.standin\\.(Capacity|Rack|Arrivals|Front)(\\$.*)?")
                  || c.getPackageName().equals("willowyoke.kit.judge")
                  || c.getPackageName().equals("willowyoke.drain")
                  || c.getPackageName().equals("willowyoke.ledger")
                  || c.getPackageName().equals("willowyoke.repeats")
                  || c.getName().matches("willowyoke\\.net\\.client\\.Places(\\$.*)?")
                  || c.getName().matches("willowyoke\\.(Decide|Gateway)(\\$.*)?"));

  /**
   * What decides in the store: it knows a disk by an interface, and time and chance as arguments.
   */
  private static final DescribedPredicate<JavaClass> STORE_CORE =
      DescribedPredicate.describe(
          "are the store's core",
          c ->
              c.getName()
                  .matches(
                      "willowyoke\\.store\\.(Engine|Frames|Segment|Slot|Key|Batch|Manifest|Hint|Compaction"
                          + "|Salvage)(\\$.*)?"));

  @ArchTest
  static final ArchRule THE_STORES_CORE_KNOWS_ONLY_A_DISK =
      noClasses()
          .that(STORE_CORE)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io.netty..",
              "java.io..",
              "java.net..",
              "java.nio.channels..",
              "java.nio.file..",
              "java.time..")
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(Thread.class)
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis");

  @ArchTest
  static final ArchRule NO_CYCLES = slices().matching("willowyoke.(**)").should().beFreeOfCycles();

  /**
   * The root holds the command line, the module and its seam; the module leans on the subset, and
   * that on nobody.
   */
  @ArchTest
  static final ArchRule THE_MODULE_KNOWS_ONLY_THE_SUBSET =
      noClasses()
          .that()
          .haveNameMatching("willowyoke\\.(Decide|Gateway)(\\$.*)?")
          .should()
          .dependOnClassesThat(
              JavaClass.Predicates.resideInAPackage("willowyoke.*..")
                  .and(
                      DescribedPredicate.not(
                          JavaClass.Predicates.resideInAPackage("willowyoke.subset"))));

  @ArchTest
  static final ArchRule THE_SEAM_KNOWS_NOBODY =
      noClasses()
          .that()
          .haveNameMatching("willowyoke\\.Gateway(\\$.*)?")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("willowyoke.*..");

  @ArchTest
  static final ArchRule THE_SUBSET_KNOWS_NOBODY =
      noClasses()
          .that()
          .resideInAPackage("willowyoke.subset")
          .should()
          .dependOnClassesThat(
              JavaClass.Predicates.resideInAPackage("willowyoke..")
                  .and(
                      DescribedPredicate.not(
                          JavaClass.Predicates.resideInAPackage("willowyoke.subset"))));

  @ArchTest
  static final ArchRule CORES_DO_NO_IO =
      noClasses()
          .that(CORES)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io.netty..",
              "java.io..",
              "java.net..",
              "java.nio.channels..",
              "java.nio.file..",
              "java.util.concurrent..",
              "java.time..");

  @ArchTest
  static final ArchRule CORES_HAVE_NO_CLOCK_OR_THREAD =
      noClasses()
          .that(CORES)
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(Thread.class);

  /** Chance comes from a seed, so that a run can be had again. */
  @ArchTest
  static final ArchRule CORES_DRAW_FROM_A_SEED =
      noClasses()
          .that(CORES)
          .should()
          .callMethod(Math.class, "random")
          .orShould()
          .callConstructor(java.util.Random.class)
          .orShould()
          .callMethod(java.util.UUID.class, "randomUUID");

  @ArchTest
  static final ArchRule WHAT_SERVES_KNOWS_NO_STAND_IN =
      noClasses()
          .that()
          .resideOutsideOfPackages("willowyoke.standin..", "willowyoke.kit..")
          .and()
          .doNotHaveSimpleName("Main")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("willowyoke.standin..", "willowyoke.kit..");

  @ArchTest
  static final ArchRule CONNECTIONS_KNOW_PORTS =
      noClasses()
          .that()
          .resideInAPackage("willowyoke.net..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("willowyoke.node..", "willowyoke.sim..");
}
