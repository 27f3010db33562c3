package beampoint.ops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** Decoding of cache node ids in request paths. */
class AdminServerTest {

  @Test
  void idsArePercentDecodedOnce() {
    assertEquals("a b/c+d%41", AdminServer.decoded("a%20b%2Fc+d%2541"));
    assertNull(AdminServer.decoded("a%2"));
    assertNull(AdminServer.decoded("a%zz"));
  }
}
