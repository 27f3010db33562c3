package beampoint.emulator;

import beampoint.emulator.MemberFleet.Death;
import beampoint.emulator.MemberFleet.TimedEvent;
import beampoint.fleet.membership.MemberAction;
import beampoint.fleet.membership.MemberEvent;
import beampoint.fleet.membership.Membership;
import beampoint.fleet.membership.MembershipSettings;
import beampoint.fleet.message.Codec;
import beampoint.fleet.message.MalformedMessageException;
import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message;
import beampoint.fleet.message.Status;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/**
 * Measures how the cost of a member grows with the fleet, in virtual time, for docs/fleet/membership.md:
 * {@code mvn -q -B test -Dtest=MemberScaleStudy -DargLine="-Xmx4g -Dstudy.sizes=100,400,1000,2300"}. It takes
 * minutes and is not run by the build.
 */
class MemberScaleStudy {

  private static final int[] SIZES = Arrays.stream(System.getProperty("study.sizes", "100,400,1000,2300")
      .split(",")).mapToInt(Integer::parseInt).toArray();
  private static final int SEED = Integer.getInteger("study.seed", 1);
  private static final int MAX_AT_START = Integer.getInteger("study.most.at.start", Integer.MAX_VALUE);
  private static final int WARM_UP_SIZE = 400;
  private static final MembershipSettings SETTINGS = MembershipSettings.defaults();
  private static final double LOSS = 0.01;
  private static final double MEASUREMENT_START_MS = 10_000;
  private static final double MEASUREMENT_END_MS = 700_000; // covers a view exchange of each of 2,300 members
  private static final int CRASHES = 2;
  private static final double DETECTION_TIME_MS = 7_000; // allowed for the detection of a crash by all
  private static final int REPLAYED_MEMBERS = 8;
  private static final int REPLAYS = 40; // per member; the first half warms up the JIT compiler
  private static final int HEAP_COPIES = 10;
  private static final int STATES_PER_PART = 1_000; // limit of the codec for one message of a view
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private final Codec codec = new Codec("emulated");

  private double viewNanos; // of the last replay

  /** The figures by name, each with a value per fleet size. */
  private final Map<String, double[]> figures = new LinkedHashMap<>();

  @Test
  void slopes() throws MalformedMessageException {
    measureFleet(0, WARM_UP_SIZE);
    figures.clear();
    for (int i = 0; i < SIZES.length; i++) {
      measureFleet(i, SIZES[i]);
      if (SIZES[i] <= MAX_AT_START) {
        massStart(i, SIZES[i]);
      }
      List<MemberState> known = MemberFleet.initialStates(SIZES[i], 1);
      put("heap bytes a member's table", i, heapOfOne(known));
      wholeView(i, known);
      System.out.println("done: " + SIZES[i] + " members, seed " + SEED);
    }
    print();
  }

  private void put(String name, int index, double value) {
    figures.computeIfAbsent(name, n -> missingValues())[index] = value;
  }

  private static double[] missingValues() {
    double[] values = new double[SIZES.length];
    Arrays.fill(values, Double.NaN);
    return values;
  }

  /** Measures a fleet in a steady state, and then crashes of single members. */
  private void measureFleet(int index, int members) throws MalformedMessageException {
    MemberFleet fleet = MemberFleet.settled(members, SETTINGS, SEED);
    fleet.measureWith(System::nanoTime);
    fleet.setLossEverywhere(LOSS);
    Map<Integer, List<TimedEvent>> recorded = new LinkedHashMap<>();
    for (int i = 0; i < REPLAYED_MEMBERS; i++) {
      int member = i * members / REPLAYED_MEMBERS;
      recorded.put(member, fleet.record(member));
    }
    fleet.runTo(MEASUREMENT_START_MS);
    fleet.traffic().resetWorstSeconds();
    long datagrams = fleet.traffic().datagramBytes();
    long views = fleet.traffic().viewBytes();
    long messages = fleet.messages();
    long machineNanos = fleet.stateMachineNanos();
    long wall = System.nanoTime();
    long cpu = THREADS.getCurrentThreadCpuTime();
    fleet.runTo(MEASUREMENT_END_MS);
    cpu = THREADS.getCurrentThreadCpuTime() - cpu;
    wall = System.nanoTime() - wall;
    double machineShare = (fleet.stateMachineNanos() - machineNanos) / (double) wall;
    double memberSeconds = members * (MEASUREMENT_END_MS - MEASUREMENT_START_MS) / 1_000;
    replay(index, fleet, recorded);
    put("CPU ms a member a second, machine in the fleet", index, cpu * machineShare / 1e6 / memberSeconds);
    put("CPU ms a member a second, with emulator", index, cpu / 1e6 / memberSeconds);
    put("messages a member a second", index, (fleet.messages() - messages) / memberSeconds);
    double datagramBytes = (fleet.traffic().datagramBytes() - datagrams) / memberSeconds;
    double viewBytes = (fleet.traffic().viewBytes() - views) / memberSeconds;
    put("bytes a member a second, datagrams", index, datagramBytes);
    put("bytes a member a second, whole views", index, viewBytes);
    put("bytes a member a second, all", index, datagramBytes + viewBytes);
    put("bytes in a member's worst second", index, fleet.traffic().worstSecond());
    put("crash known to all, ms, worst of " + CRASHES, index, crashes(fleet, members));
    long falsePositives = fleet.deaths().stream().filter(Death::wasAlive).count();
    put("false positives", index, falsePositives);
  }

  /** Measures the start of all members at once, when the state of each is new to all others. */
  private void massStart(int index, int members) {
    MemberFleet fleet = new MemberFleet(members, SETTINGS, SEED);
    fleet.setLossEverywhere(LOSS);
    fleet.runTo(MEASUREMENT_START_MS);
    long datagrams = fleet.traffic().datagramBytes();
    long cpu = THREADS.getCurrentThreadCpuTime();
    fleet.runTo(2 * MEASUREMENT_START_MS);
    double memberSeconds = members * MEASUREMENT_START_MS / 1_000;
    put("all start at once: CPU ms, with emulator", index,
        (THREADS.getCurrentThreadCpuTime() - cpu) / 1e6 / memberSeconds);
    put("all start at once: datagram bytes a second", index,
        (fleet.traffic().datagramBytes() - datagrams) / memberSeconds);
    put("all start at once: bytes in worst second", index, fleet.traffic().worstSecond());
  }

  /**
   * Measures the full view that a joining member exchanges: its length and the CPU time to write, read and
   * merge it.
   */
  private void wholeView(int index, List<MemberState> known) throws MalformedMessageException {
    double[] written = new double[REPLAYS];
    double[] readAndMerged = new double[REPLAYS];
    for (int i = 0; i < REPLAYS; i++) {
      long begin = THREADS.getCurrentThreadCpuTime();
      List<byte[]> parts = write(new MemberEvent.ViewReceived(known));
      long middle = THREADS.getCurrentThreadCpuTime();
      Membership joining = new Membership(SETTINGS, known.get(0).member(), known.get(0).address(), List.of(),
          RandomSource.XO_SHI_RO_256_PP.create(i), 0);
      joining.handle(0, read(new MemberEvent.ViewReceived(known), parts));
      written[i] = (middle - begin) / 1e6;
      readAndMerged[i] = (THREADS.getCurrentThreadCpuTime() - middle) / 1e6;
    }
    put("whole view, bytes", index, codec.writeView(known).length);
    put("whole view, CPU ms to write", index, median(written));
    put("whole view, CPU ms to read and join by", index, median(readAndMerged));
  }

  private static double crashes(MemberFleet fleet, int members) {
    double worst = 0;
    for (int i = 0; i < CRASHES; i++) {
      int victim = 1 + i * members / 3;
      int others = members - 1 - i;
      double at = fleet.now();
      fleet.kill(victim);
      fleet.runTo(at + DETECTION_TIME_MS);
      List<Death> known = fleet.deaths().stream().filter(d -> d.member() == victim).toList();
      long detections = known.stream().map(Death::observer).distinct().count();
      double last = known.stream().mapToDouble(Death::at).max().orElse(0) - at;
      worst = Math.max(worst, detections < others ? Double.POSITIVE_INFINITY : last);
    }
    return worst;
  }

  /** CPU time of one member's events in ns: all, only full views, and all including the codec. */
  private record Replayed(double all, double viewsOnly, double withCodec) {}

  /** Replays the events of some members, each alone, as in a process of its own. */
  private void replay(int index, MemberFleet fleet, Map<Integer, List<TimedEvent>> recorded)
      throws MalformedMessageException {
    double all = 0;
    double viewsOnly = 0;
    double withCodec = 0;
    for (Map.Entry<Integer, List<TimedEvent>> member : recorded.entrySet()) {
      Replayed replayed = replay(fleet, member.getKey(), List.copyOf(member.getValue()));
      all += replayed.all();
      viewsOnly += replayed.viewsOnly();
      withCodec += replayed.withCodec();
    }
    double perSecond = 1e6 * REPLAYED_MEMBERS * (MEASUREMENT_END_MS - MEASUREMENT_START_MS) / 1_000;
    put("CPU ms a member a second, machine alone", index, all / perSecond);
    put("CPU ms a member a second, of that views", index, viewsOnly / perSecond);
    put("CPU ms a member a second, machine without views", index, (all - viewsOnly) / perSecond);
    put("CPU ms a member a second, machine and codec", index, withCodec / perSecond);
  }

  private Replayed replay(MemberFleet fleet, int member, List<TimedEvent> recorded)
      throws MalformedMessageException {
    List<List<byte[]>> written = new ArrayList<>();
    for (TimedEvent event : recorded) {
      written.add(write(event.event()));
    }
    double[] all = new double[REPLAYS];
    double[] viewsOnly = new double[REPLAYS];
    double[] withCodec = new double[REPLAYS];
    for (int i = 0; i < REPLAYS; i++) {
      all[i] = replayOnce(fleet.initialMembership(member), recorded, null);
      viewsOnly[i] = viewNanos;
      withCodec[i] = replayOnce(fleet.initialMembership(member), recorded, written);
    }
    return new Replayed(median(all), median(viewsOnly), median(withCodec));
  }

  private double replayOnce(Membership membership, List<TimedEvent> recorded, List<List<byte[]>> written)
      throws MalformedMessageException {
    int index = 0;
    while (index < recorded.size() && recorded.get(index).at() < MEASUREMENT_START_MS) {
      membership.handle(recorded.get(index).at(), recorded.get(index).event());
      index++;
    }
    viewNanos = 0;
    long begin = THREADS.getCurrentThreadCpuTime();
    for (; index < recorded.size() && recorded.get(index).at() <= MEASUREMENT_END_MS; index++) {
      TimedEvent event = recorded.get(index);
      boolean isView = event.event() instanceof MemberEvent.ViewReceived;
      long at = isView ? System.nanoTime() : 0;
      MemberEvent input = written == null ? event.event() : read(event.event(), written.get(index));
      List<MemberAction> actions = membership.handle(event.at(), input);
      if (isView) {
        writeView(membership, written != null); // an exchange also writes the own view
      }
      viewNanos += isView ? System.nanoTime() - at : 0;
      if (written != null) {
        actions.forEach(this::write);
      }
    }
    return THREADS.getCurrentThreadCpuTime() - begin;
  }

  private void writeView(Membership membership, boolean withCodec) {
    List<MemberState> view = membership.view();
    if (withCodec) {
      codec.writeView(view);
    }
  }

  private void write(MemberAction action) {
    if (action instanceof MemberAction.Send send) {
      codec.write(send.message());
    }
  }

  private List<byte[]> write(MemberEvent event) {
    List<byte[]> written = new ArrayList<>();
    if (event instanceof MemberEvent.Received e) {
      written.add(codec.write(e.message()));
    } else if (event instanceof MemberEvent.ViewReceived e) {
      for (int i = 0; i < e.view().size(); i += STATES_PER_PART) {
        written.add(codec.writeView(e.view().subList(i, Math.min(e.view().size(), i + STATES_PER_PART))));
      }
    }
    return written;
  }

  private MemberEvent read(MemberEvent event, List<byte[]> written) throws MalformedMessageException {
    if (event instanceof MemberEvent.Received) {
      Message message = codec.read(written.get(0), written.get(0).length);
      return new MemberEvent.Received(message);
    }
    if (event instanceof MemberEvent.ViewReceived) {
      List<MemberState> view = new ArrayList<>();
      for (byte[] part : written) {
        view.addAll(codec.readView(part));
      }
      return new MemberEvent.ViewReceived(view);
    }
    return event;
  }

  /** The heap use of a member that has read a full view, with separate string instances in each entry. */
  private double heapOfOne(List<MemberState> known) throws MalformedMessageException {
    Membership[] copies = new Membership[HEAP_COPIES];
    long before = heap();
    for (int i = 0; i < HEAP_COPIES; i++) {
      List<MemberState> read = ((MemberEvent.ViewReceived) read(new MemberEvent.ViewReceived(known),
          write(new MemberEvent.ViewReceived(known)))).view();
      copies[i] = new Membership(SETTINGS, "n0000", "10.0.0.0:7946", List.of(),
          RandomSource.XO_SHI_RO_256_PP.create(i), 0);
      copies[i].handle(0, new MemberEvent.ViewReceived(read));
      for (double time = SETTINGS.tickInterval(); time < 400 * SETTINGS.tickInterval(); time +=
          SETTINGS.tickInterval()) {
        copies[i].handle(time, new MemberEvent.Tick()); // until all queued updates have been sent
        copies[i].handle(time, new MemberEvent.Received(
            new Message(Message.Kind.GOSSIP, 0, read.get(1), "", List.of())));
      }
    }
    double usedBytes = heap() - before;
    long liveCount = Arrays.stream(copies).mapToLong(m -> m.view().stream()
        .filter(n -> n.status() == Status.ALIVE || n.status() == Status.SUSPECT).count()).sum();
    System.out.println("heap of " + liveCount + " entries that live: " + (long) usedBytes);
    return usedBytes / HEAP_COPIES;
  }

  private static long heap() {
    for (int i = 0; i < 4; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /** The median of the second half, which runs compiled code. */
  private static double median(double[] values) {
    double[] last = Arrays.copyOfRange(values, values.length / 2, values.length);
    Arrays.sort(last);
    return last[last.length / 2];
  }

  private void print() {
    double[] x = Arrays.stream(SIZES).asDoubleStream().toArray();
    double[] logarithms = Arrays.stream(x).map(n -> Math.log(n) / Math.log(2)).toArray();
    figures.forEach((name, values) -> {
      StringBuilder row = new StringBuilder(String.format("%-48s", name));
      for (double value : values) {
        row.append(String.format(" %12.4g", value));
      }
      System.out.println(row + " | " + text(LeastSquares.fit(x, values), "N") + " | "
          + text(LeastSquares.fit(logarithms, values), "log2 N"));
    });
  }

  private static String text(LeastSquares line, String unit) {
    return String.format("%.4g + %.4g %s, worst residual %.2g", line.intercept(), line.slope(), unit,
        line.worstResidual());
  }
}
