package beampoint.emulator;

/**
 * A client's request, from its scheduled time until it is answered or given up. The client may send it
 * several times. Each of these is a try, which is a separate request for the proxy that receives it.
 */
final class ClientRequest {

  final long id;
  final Scenario.LoadClass loadClass;
  final int classNumber;
  final int tenant;
  final long key;
  final double work; // multiplies the mean work of its class; the same at every server
  final double dueAt;
  int tries;

  ClientRequest(long id, Scenario.LoadClass loadClass, int classNumber, int tenant, long key, double work,
      double dueAt) {
    this.id = id;
    this.loadClass = loadClass;
    this.classNumber = classNumber;
    this.tenant = tenant;
    this.key = key;
    this.work = work;
    this.dueAt = dueAt;
  }

  double deadline() {
    return dueAt + loadClass.requestClass().deadline();
  }

  /** One sending of the request, to one instance. */
  static final class Try {
    final ClientRequest request;
    final double deadline;
    boolean finished; // answered, or the client has stopped waiting
    int effectRuns; // how often the origin applied its effect
    double effectRanAt;

    Try(ClientRequest request, double deadline) {
      this.request = request;
      this.deadline = deadline;
    }
  }

  /** How a try ended for its client. */
  enum Outcome { SERVED, REFUSED, FAILED, LOST }
}
