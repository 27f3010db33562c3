package beampoint.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.Load;
import com.google.gson.JsonObject;
import java.util.List;
import org.junit.jupiter.api.Test;

class LoadColumnsTest {

  private final LoadColumns columns = new LoadColumns(List.of("err_ps", "mean_ms", "depth", "x1"));

  @Test
  void eachValueIsReadFromItsColumnAndWhatIsNotToldIsNotZero() {
    Load load = columns.parse("0,14.5,3,7");
    assertEquals(3, load.queue());
    assertTrue(Double.isNaN(load.utilisation()));
    Load other = new LoadColumns(List.of("load_share", "tps", "x0")).parse("0.4,90,0.8");
    assertEquals(0.4, other.utilisation());
    assertTrue(Double.isNaN(other.queue()));
  }

  @Test
  void aRowThatIsCutOffOrTooLongOrMissingIsNoReport() {
    assertNull(columns.parse(null));
    assertNull(columns.parse(""));
    assertNull(columns.parse("0,14.5,3"));
    assertNull(columns.parse("0,14.5,3,7,8"));
  }

  @Test
  void aValueThatCantBeIsNotTold() {
    for (String value : List.of("", "x", "-1", "NaN", "Infinity", "1e999")) {
      Load load = columns.parse("0,14.5," + value + ",7");
      assertTrue(Double.isNaN(load.queue()), value);
    }
  }

  @Test
  void columnsThatThisVersionDoesNotKnowArePassedOver() {
    Load load = new LoadColumns(List.of("warp", "depth")).parse("much,2");
    assertEquals(2, load.queue());
    assertNull(LoadColumns.read(new JsonFields("test", new JsonObject())).parse("1,2"));
  }
}
