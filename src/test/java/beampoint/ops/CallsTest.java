package beampoint.ops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** Ids as they stand in the path of a call. */
class CallsTest {

  @Test
  void idsArePercentDecodedOnce() {
    assertEquals("a b/c+d%41", Calls.decoded("a%20b%2Fc+d%2541"));
    assertNull(Calls.decoded("a%2"));
    assertNull(Calls.decoded("a%zz"));
  }
}
