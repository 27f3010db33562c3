package beampoint.benchmark;

import beampoint.emulator.MemberFleet;
import beampoint.fleet.membership.MembershipSettings;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Simulates members in virtual time at the sizes of {@link FleetProcesses}: bytes and CPU time of each, to
 * compare with real processes. Argument: fleet sizes such as {@code 5,20,60,120}.
 */
public final class HollowFleet {

  private static final double SETTLED_AT_MS = 60_000;
  private static final double SECONDS = 60;

  private HollowFleet() {}

  public static void main(String[] args) {
    List<LinearFit.Point> bytes = new ArrayList<>();
    List<LinearFit.Point> cpu = new ArrayList<>();
    for (String size : args[0].split(",")) {
      int members = Integer.parseInt(size);
      MemberFleet fleet = new MemberFleet(members, MembershipSettings.defaults(), 1);
      fleet.runTo(SETTLED_AT_MS);
      long messagesBefore = fleet.messages();
      long bytesBefore = fleet.bytes();
      long begin = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
      fleet.runTo(SETTLED_AT_MS + 1_000 * SECONDS);
      double spent = (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - begin) / 1e6;
      double sent = (fleet.bytes() - bytesBefore) / SECONDS / members;
      bytes.add(new LinearFit.Point(members, sent));
      cpu.add(new LinearFit.Point(members, spent / SECONDS / members));
      System.out.printf(Locale.ROOT, "%d members: %.1f messages, %.0f bytes, %.4f ms of processor a member a"
          + " second%n", members, (fleet.messages() - messagesBefore) / SECONDS / members, sent,
          spent / SECONDS / members);
    }
    System.out.println(LinearFit.of(bytes).text("bytes a member a second", "bytes"));
    System.out.println(LinearFit.of(cpu).text("processor ms a member a second", "ms"));
  }
}
