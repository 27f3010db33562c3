package beampoint.emulator;

/** What one client wants, from when it was due to when it has it or gives up; each try is a request. */
final class Ask {

  final long id;
  final Scenario.Kind kind;
  final int kindNumber;
  final int tenant;
  final long key;
  final double work; // a factor, the same wherever it is done
  final double dueAt;
  int tries;

  Ask(long id, Scenario.Kind kind, int kindNumber, int tenant, long key, double work, double dueAt) {
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

  /** One request for it at one instance. */
  static final class Try {
    final Ask ask;
    final double notAfter;
    boolean over; // answered, or its client has left
    int runs; // of its effect
    double ranAt;

    Try(Ask ask, double notAfter) {
      this.ask = ask;
      this.notAfter = notAfter;
    }
  }

  /** How a try ended, as its client sees it. */
  enum End { SERVED, REFUSED, FAILED, LOST }
}
