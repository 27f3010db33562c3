package beampoint.soak;

import beampoint.Stub;
import java.io.IOException;
import java.util.SplittableRandom;

/** A scripted server behind the proxies that decides by a random draw how it answers each attempt. */
abstract class SoakPeer implements AutoCloseable {

  final String name;
  final RunContext context;
  private final SplittableRandom random;
  private final Stub stub;

  SoakPeer(String name, RunContext context, SplittableRandom random) throws IOException {
    this.name = name;
    this.context = context;
    this.random = random;
    this.stub = new Stub(this::serve);
  }

  /** Serves one connection to its end. */
  abstract void serve(Stub.Peer peer) throws IOException;

  /** A random number from 0 (inclusive) to 1 (exclusive). */
  synchronized double draw() {
    return random.nextDouble();
  }

  String address() {
    return stub.address();
  }

  @Override
  public void close() throws IOException {
    stub.close();
  }
}
