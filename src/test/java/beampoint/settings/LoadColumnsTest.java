package beampoint.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.Load;
import com.google.gson.JsonParser;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Parsing of load reports by their configured columns. */
class LoadColumnsTest {

  private final LoadColumns columns = new LoadColumns(List.of("err_ps", "mean_ms", "depth", "x1"));

  @Test
  void eachValueIsReadFromItsColumnAndAMissingOneIsNotZero() {
    Load load = columns.parse("0,14.5,3,7");
    assertEquals(3, load.queue());
    assertTrue(Double.isNaN(load.utilisation()));
    Load other = new LoadColumns(List.of("load_share", "tps", "x0")).parse("0.4,90,0.8");
    assertEquals(0.4, other.utilisation());
    assertTrue(Double.isNaN(other.queue()));
  }

  @Test
  void aRowOfTheWrongLengthOrNoneIsNoReport() {
    assertNull(columns.parse(null));
    assertNull(columns.parse(""));
    assertNull(columns.parse("0,14.5,3"));
    assertNull(columns.parse("0,14.5,3,7,8"));
  }

  @Test
  void anInvalidValueCountsAsMissing() {
    for (String value : List.of("", "x", "-1", "NaN", "Infinity", "1e999")) {
      Load load = columns.parse("0,14.5," + value + ",7");
      assertTrue(Double.isNaN(load.queue()), value);
    }
  }

  @Test
  void unknownColumnsAreIgnored() {
    Load load = new LoadColumns(List.of("warp", "depth")).parse("much,2");
    assertEquals(2, load.queue());
  }

  private static LoadColumns read(String json) throws InputException {
    return LoadColumns.read(new JsonFields("test", JsonParser.parseString(json).getAsJsonObject()));
  }

  @Test
  void columnsAreConfiguredAsAListOrAsOneTextAndThereAreNoneByDefault() throws InputException {
    String list = "{\"telemetry\":{\"source\":\"inline\",\"columns\":[\"depth\",\"x1\"]}}";
    assertEquals(List.of("depth", "x1"), read(list).names());
    assertEquals(List.of("depth", "x1"), read(list.replace("[\"depth\",\"x1\"]", "\"depth,x1\"")).names());
    assertNull(read("{}").parse("1,2"));
    assertNull(read("{}").parseNamed("queue=1"));
    assertNull(read(list.replace("inline", "on_probe")).parseNamed("queue=1"));
  }

  @Test
  void aReportOfACacheNodeNamesItsValues() throws InputException {
    LoadColumns inline = new LoadColumns(List.of("depth", "load_share"));
    assertEquals(new Load(2, 0.61), inline.parseNamed("inflight=7,queue=2,util=0.61"));
    assertEquals(new Load(2, 0.61), inline.parseNamed("load_share=0.61,depth=2"));
    assertTrue(Double.isNaN(inline.parseNamed("queue=2").utilisation()));
    for (String malformed : List.of("", ",", "=", "queue", "queue=", "=2", "queue=-1,util=x")) {
      assertTrue(Double.isNaN(inline.parseNamed(malformed).queue()), malformed);
    }
    assertNull(inline.parseNamed(null));
  }
}
