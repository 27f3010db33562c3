package beampoint.soak;

import beampoint.emulator.ReservedPort;
import java.io.IOException;

/** A client address, an operations address if the run has upgrades, and the process that serves there. */
final class Instance implements AutoCloseable {

  final String name;
  private final ReservedPort clientPort = new ReservedPort();
  private ReservedPort opsPort; // null if none
  private ServeProcess process;

  Instance(String name, boolean hasOps) throws IOException {
    this.name = name;
    this.opsPort = hasOps ? new ReservedPort() : null;
  }

  int clientPort() {
    return clientPort.number();
  }

  /** The port of the operations address; 0 if there is none. */
  int opsPort() {
    return opsPort == null ? 0 : opsPort.number();
  }

  ServeProcess process() {
    return process;
  }

  void setProcess(ServeProcess newProcess) {
    process = newProcess;
  }

  /** A new process of this instance has taken over; it has an operations port of its own. */
  void replaceProcess(ServeProcess newProcess, ReservedPort newOpsPort) throws IOException {
    opsPort.close();
    opsPort = newOpsPort;
    process = newProcess;
  }

  @Override
  public void close() throws IOException {
    clientPort.close();
    if (opsPort != null) {
      opsPort.close();
    }
  }
}
