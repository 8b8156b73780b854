package edgenode;

import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.nameMatching;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Which packages may depend on which, and what a core may not use. */
@AnalyzeClasses(packages = "edgenode", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  /** What decides: the policy and the cores of the other subsystems. */
  private static final DescribedPredicate<JavaClass> CORES =
      DescribedPredicate.describe(
          "are cores",
          c ->
              c.getPackageName().equals("edgenode.membership")
                  || c.getPackageName().equals("edgenode.policy.subset")
                  || c.getName()
                      .matches(
                          "edgenode\\.emulator\\.(CapacityModel|IdempotencyGroupModel|ArrivalProcess"
                              + "|ClientLoadBalancer)(\\$.*)?")
                  || c.getPackageName().equals("edgenode.simulation.invariants")
                  || c.getPackageName().equals("edgenode.drain")
                  || c.getPackageName().equals("edgenode.ledger")
                  || c.getPackageName().equals("edgenode.idempotency")
                  || c.getName().matches("edgenode\\.net\\.downstream\\.EvictionOrder(\\$.*)?")
                  || c.getPackageName().equals("edgenode.policy"));

  /** What goes into the policy and what comes out of it. */
  private static final String POLICY_MODEL =
      "edgenode\\.policy\\.(AttemptResult|CallOutcome|Capabilities|EndpointInfo|EndpointState"
          + "|Idempotency"
          + "|IdempotencyGroup|IncomingRequest|PolicyActions|PolicyEvents|PolicySettings|Prices"
          + "|QuotaPlan|RequestClass|RuleLimits)(\\$.*)?";

  /**
   * What decides in the store: all of it but the command, the front, the writer thread and the real
   * file system. It knows a directory by an interface, and time and chance as arguments.
   */
  private static final DescribedPredicate<JavaClass> STORE_CORE =
      DescribedPredicate.describe(
          "are the store's core",
          c ->
              c.getPackageName().equals("edgenode.store")
                  && !c.getName()
                      .matches(
                          "edgenode\\.store\\.(KeyValueStore|StoreWriter|StoreCommand|FileSystemDirectory)"
                              + "(\\$.*)?"));

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
  static final ArchRule NO_CYCLES = slices().matching("edgenode.(**)").should().beFreeOfCycles();

  /** The decisions depend on nothing but the decisions. */
  @ArchTest
  static final ArchRule THE_POLICY_DEPENDS_ON_NO_OTHER_PACKAGE =
      noClasses()
          .that()
          .resideInAPackage("edgenode.policy..")
          .should()
          .dependOnClassesThat(
              JavaClass.Predicates.resideInAPackage("edgenode..")
                  .and(
                      DescribedPredicate.not(
                          JavaClass.Predicates.resideInAPackage("edgenode.policy.."))));

  @ArchTest
  static final ArchRule THE_POLICY_MODEL_DEPENDS_ON_NOTHING_OF_OURS =
      noClasses()
          .that()
          .haveNameMatching(POLICY_MODEL)
          .should()
          .dependOnClassesThat(
              JavaClass.Predicates.resideInAPackage("edgenode..")
                  .and(DescribedPredicate.not(nameMatching("(\\[L)?" + POLICY_MODEL + ";?"))));

  @ArchTest
  static final ArchRule THE_SUBSET_KNOWS_NOBODY =
      noClasses()
          .that()
          .resideInAPackage("edgenode.policy.subset")
          .should()
          .dependOnClassesThat(
              JavaClass.Predicates.resideInAPackage("edgenode..")
                  .and(
                      DescribedPredicate.not(
                          JavaClass.Predicates.resideInAPackage("edgenode.policy.subset"))));

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
          .resideOutsideOfPackages(
              "edgenode.emulator..", "edgenode.simulation..", "edgenode.benchmark..")
          .and()
          .doNotHaveSimpleName("Main")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "edgenode.emulator..", "edgenode.simulation..", "edgenode.benchmark..");

  @ArchTest
  static final ArchRule CONNECTIONS_KNOW_PORTS =
      noClasses()
          .that()
          .resideInAPackage("edgenode.net..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("edgenode.node..", "edgenode.simhost..");
}
