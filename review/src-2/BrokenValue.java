import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client sends three commands on one connection: a read that takes 400 ms, a read of a long value and a
 * write. The cache node's connection with the long value is reset in its middle, 100 ms after its begin. The
 * write has to get its final answer.
 */
final class BrokenValue {
  private static final int LENGTH = 1 << 20;
  private static final int CLIENTS = 10;

  private BrokenValue() {}

  public static void main(String[] args) {
    Stage.run(args[0], BrokenValue::holds);
  }

  private static boolean holds(Stage stage) throws Exception {
    Map<String, Integer> runs = new ConcurrentHashMap<>();
    List<Stage.Entry> entries = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      entries.add(new Stage.Entry("cache-" + i, stage.cache("cache-" + i, (wire, work) -> {
        if (!work.key().startsWith("f")) {
          Thread.sleep(400);
          wire.write("VA 5 O" + work.id() + "\r\nhello\r\n");
          return;
        }
        wire.write("VA " + LENGTH + " O" + work.id() + "\r\n");
        wire.write(new byte[LENGTH / 2]);
        Thread.sleep(100);
        if (Stage.TROUBLE) {
          stage.note("the connection is reset in the middle of the value of " + work.id());
          wire.reset();
        } else {
          wire.write(new byte[LENGTH / 2]);
          wire.write("\r\n");
        }
      }), "m2"));
    }
    entries.add(new Stage.Entry("origin", stage.origin((wire, work) -> {
      runs.merge(work.id(), 1, Integer::sum);
      stage.note("origin ran " + work.id());
      Stage.http(wire, 200, "r" + work.id());
    }), "origin"));
    int port = Stage.freePort();
    stage.start("n1", port, stage.config(port, stage.discovery(entries), entries,
        List.of(new Stage.Lane("page-read", "safe", "all", 0, 1000, 2500),
            new Stage.Lane("publish-version", "unsafe", "all", 0, 1200, 5000))));
    int lost = 0;
    for (int i = 0; i < CLIENTS; i++) {
      String tail = String.format("%015d", i);
      String read = " Pc=page-read,t=sabarmati-tools,d=2500\r\n";
      String answer = null;
      try (Stage.Wire wire = Stage.Wire.connect(port)) {
        wire.socket.setSoTimeout(8000);
        wire.write("mg 1" + tail + " v Oa" + tail + read + "mg f" + tail + " v Ob" + tail + read + "ms 2" + tail
            + " 5 Oc" + tail + " Pc=publish-version,t=sabarmati-tools,d=5000\r\nhello\r\n");
        stage.note("client sent a" + tail + ", b" + tail + ", c" + tail);
        for (int n = 0; n < 3; n++) {
          String line = wire.line();
          stage.note("client got " + line);
          if (line == null) {
            break;
          }
          if (line.startsWith("VA ")) {
            wire.bytes(Integer.parseInt(line.split(" ")[1]) + 2);
          }
          answer = n == 2 ? line : null;
        }
      } catch (IOException e) {
        stage.note("client got " + e);
      }
      if (answer == null) {
        lost++;
        stage.note("LOST c" + tail + ", which the origin ran " + runs.getOrDefault("c" + tail, 0) + " times");
      }
      Thread.sleep(300);
    }
    stage.say("writes with no final answer: " + lost + " of " + CLIENTS);
    return lost == 0;
  }
}
