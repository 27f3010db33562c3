package beampoint.discovery;

import beampoint.benchmark.Workload;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** The time that a proxy takes to read a host list, from the bytes of the watch to its entries. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 8, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Fork(value = 1, jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms52m", "-Xmx52m"})
public class ListBenchmark {

  private static final int ZONES = 31;

  @Param({"14", "60", "200", "610"})
  public int entries;

  private byte[] whole;
  private byte[] changeOfOne;

  /** The line of a list of so many cache nodes, or of a change of one of them. */
  public static byte[] line(int caches, boolean change) {
    JsonObject list = Workload.hostList(caches, ZONES, "10.131.204.17:11211");
    if (change) {
      JsonArray one = new JsonArray();
      one.add(list.getAsJsonArray("hosts").get(caches / 2));
      list.addProperty("whole", false);
      list.add("hosts", one);
    }
    return (list + "\n").getBytes(StandardCharsets.UTF_8);
  }

  /** Makes the lines that are read. */
  @Setup
  public void setUp() {
    whole = line(entries, false);
    changeOfOne = line(entries, true);
  }

  @Benchmark
  public HostList readWhole() {
    return read(whole);
  }

  @Benchmark
  public HostList readChangeOfOne() {
    return read(changeOfOne);
  }

  private static HostList read(byte[] line) {
    HostListSplitter text = new HostListSplitter();
    String complete = null;
    for (byte next : line) {
      complete = text.append(next);
    }
    return HostList.parse(complete);
  }
}
