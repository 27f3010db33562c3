package beampoint.serve;

import beampoint.Stub;

/** Cache nodes on loopback that answer by a script. */
final class ScriptedCache {

  private ScriptedCache() {}

  /** A cache node that answers every command so. */
  static Stub answering(String answer) throws Exception {
    return new Stub(peer -> {
      while (peer.line() != null) {
        peer.say(answer);
      }
    });
  }

  /** A cache node that takes a command and never answers. */
  static Stub silent() throws Exception {
    return new Stub(peer -> {
      peer.line();
      peer.beSilent();
    });
  }

  /** A cache node that answers a read once the test adds to the stub's ends. */
  static Stub held() throws Exception {
    return new Stub(peer -> {
      peer.line();
      peer.stub().ends.take();
      peer.say("VA 0 O9b\r\n\r\n");
      peer.beSilent();
    });
  }
}
