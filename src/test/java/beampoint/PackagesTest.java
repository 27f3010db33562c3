package beampoint;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** How the packages may use one another. */
@AnalyzeClasses(packages = "beampoint", importOptions = ImportOption.DoNotIncludeTests.class)
class PackagesTest {

  @ArchTest
  static final ArchRule NO_CIRCLES = slices().matching("beampoint.(*)..").should().beFreeOfCycles();

  @ArchTest
  static final ArchRule NO_CIRCLES_IN_THE_MODULE = slices().matching("beampoint.policy.(*)..").should()
      .beFreeOfCycles();

  @ArchTest
  static final ArchRule CLIENT_SIDE_KNOWS_NO_UPSTREAM = noClasses().that()
      .resideInAPackage("beampoint.client..").should().dependOnClassesThat()
      .resideInAnyPackage("beampoint.upstream..", "beampoint.discovery..", "beampoint.http..");

  @ArchTest
  static final ArchRule UPSTREAM_SIDE_KNOWS_NO_CLIENT = noClasses().that()
      .resideInAPackage("beampoint.upstream..").should().dependOnClassesThat()
      .resideInAnyPackage("beampoint.client..", "beampoint.discovery..");

  @ArchTest
  static final ArchRule ONLY_THE_SERVICE_CALLS_THE_MODULE = noClasses().that()
      .resideOutsideOfPackages("beampoint.policy..", "beampoint.cli..", "beampoint.sim..",
          "beampoint.serve..")
      .should().dependOnClassesThat().haveSimpleName("BalancerPolicy");

  @ArchTest
  static final ArchRule THE_MODULE_KNOWS_ITS_INTERFACE_AND_ITSELF = noClasses().that()
      .resideInAnyPackage("beampoint", "beampoint.policy..").should().dependOnClassesThat()
      .resideOutsideOfPackages("beampoint", "beampoint.policy..", "java.lang..", "java.util..");
}
