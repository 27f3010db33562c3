package beampoint.emulator;

/**
 * A client's request, from when it was due to when it is answered or given up. The client may send it several
 * times: each time is a try, which a proxy takes for a request of its own.
 */
final class ClientRequest {

  final long id;
  final Scenario.Kind kind;
  final int kindNumber;
  final int tenant;
  final long key;
  final double work; // a factor, the same wherever it is done
  final double dueAt;
  int tries;

  ClientRequest(long id, Scenario.Kind kind, int kindNumber, int tenant, long key, double work,
      double dueAt) {
    this.id = id;
    this.kind = kind;
    this.kindNumber = kindNumber;
    this.tenant = tenant;
    this.key = key;
    this.work = work;
    this.dueAt = dueAt;
  }

  double endsAt() {
    return dueAt + kind.rules().deadline();
  }

  /** The request as it was sent once, to one instance. */
  static final class Try {
    final ClientRequest request;
    final double notAfter;
    boolean over; // answered, or its client has left
    int runs; // of its effect
    double ranAt;

    Try(ClientRequest request, double notAfter) {
      this.request = request;
      this.notAfter = notAfter;
    }
  }

  /** How a try ended, as its client sees it. */
  enum Outcome { SERVED, REFUSED, FAILED, LOST }
}
