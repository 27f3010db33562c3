package beampoint;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Permitted dependencies between the packages. */
@AnalyzeClasses(packages = "beampoint", importOptions = ImportOption.DoNotIncludeTests.class)
class PackagesTest {

  @ArchTest
  static final ArchRule NO_CYCLES = slices().matching("beampoint.(*)..").should().beFreeOfCycles();

  @ArchTest
  static final ArchRule NO_CYCLES_IN_POLICY = slices().matching("beampoint.policy.(*)..").should()
      .beFreeOfCycles();

  @ArchTest
  static final ArchRule CLIENT_DOES_NOT_DEPEND_ON_UPSTREAM = noClasses().that()
      .resideInAPackage("beampoint.client..").should().dependOnClassesThat()
      .resideInAnyPackage("beampoint.upstream..", "beampoint.discovery..", "beampoint.http..");

  @ArchTest
  static final ArchRule UPSTREAM_DOES_NOT_DEPEND_ON_CLIENT = noClasses().that()
      .resideInAPackage("beampoint.upstream..").should().dependOnClassesThat()
      .resideInAnyPackage("beampoint.client..", "beampoint.discovery..");

  @ArchTest
  static final ArchRule ONLY_ENTRY_POINTS_DEPEND_ON_BALANCER_POLICY = noClasses().that()
      .resideOutsideOfPackages("beampoint.policy..", "beampoint.cli..", "beampoint.sim..",
          "beampoint.serve..")
      .should().dependOnClassesThat().haveSimpleName("BalancerPolicy");

  @ArchTest
  static final ArchRule POLICY_DEPENDS_ONLY_ON_ITSELF_AND_ITS_INTERFACE = noClasses().that()
      .resideInAnyPackage("beampoint", "beampoint.policy..").should().dependOnClassesThat()
      .resideOutsideOfPackages("beampoint", "beampoint.policy..", "java.lang..", "java.util..");
}
