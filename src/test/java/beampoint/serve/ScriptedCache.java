package beampoint.serve;

import beampoint.Stub;

/** Cache nodes on loopback with a fixed behaviour. */
final class ScriptedCache {

  private ScriptedCache() {}

  /** A cache node that gives the same answer to every command. */
  static Stub answering(String answer) throws Exception {
    return new Stub(peer -> {
      while (peer.line() != null) {
        peer.say(answer);
      }
    });
  }

  /** A cache node that answers the read {@code O9b} with a value of so many bytes and rejects all others. */
  static Stub valueOf(int bytes) throws Exception {
    String value = "VA " + bytes + " O9b\r\n" + "x".repeat(bytes) + "\r\n";
    return new Stub(peer -> {
      for (String line = peer.line(); line != null; line = peer.line()) {
        peer.say(line.contains(" O9b ") ? value : "SERVER_ERROR busy\r\n");
      }
    });
  }

  /** A cache node that reads a command and never answers. */
  static Stub silent() throws Exception {
    return new Stub(peer -> {
      peer.line();
      peer.beSilent();
    });
  }

  /** A cache node that answers a read only once the test adds to the stub's {@code ends}. */
  static Stub answeringOnSignal() throws Exception {
    return new Stub(peer -> {
      peer.line();
      peer.stub().ends.take();
      peer.say("VA 0 O9b\r\n\r\n");
      peer.beSilent();
    });
  }
}
