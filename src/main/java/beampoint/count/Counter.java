package beampoint.count;

/**
 * The counters of a proxy. Their names are printed. LOGIC_EXCEPTIONS (exceptions of the decision module),
 * ANSWERS_OVERDUE (requests that the module left unanswered past their deadline) and INVARIANTS_BROKEN should
 * stay 0. Of the others, these are not obvious:
 * <ul>
 * <li>CLIENT_CONNECTIONS_CLOSED_FULL: client connections closed to make room for others;
 * <li>CLIENT_CONNECTIONS_CLOSED_STALE: client connections closed because they were inactive for too long;
 * <li>CLIENT_CONNECTIONS_CLOSED_BACKLOG: client connections closed because more of their commands waited than
 * may;
 * <li>REQUESTS_GONE: requests whose client disconnected before the answer;
 * <li>IDS_USED_BEFORE: requests that were failed because one with the same id may have run;
 * <li>ATTEMPTS_FULL: attempts that an endpoint declined because it was busy;
 * <li>ATTEMPTS_DISCARDED: attempts whose reply was discarded, as there was no memory for it;
 * <li>REPLIES_AWAITED: attempts whose reply had begun when their timeout was over, so that it was awaited;
 * <li>REPLIES_TIMED_OUT: attempts that ended at their client's deadline although their reply had begun;
 * <li>GIVEN_UP_...: requests refused or failed by the decision module, by its reason;
 * <li>VALUES_CUT_OFF: streamed values whose connection ended before the last byte;
 * <li>VALUES_DISCARDED: values of writes that were discarded, as there was no memory for them;
 * <li>OPS_CALLS_UNFINISHED: calls of operators whose connection was closed, by a timeout or to make room,
 * before the answer;
 * <li>MEMORY_HELD_PEAK_BYTES: the most that the memory budget has held, READ_AHEAD_PEAK_BYTES: the most that
 * was read ahead of its turn, COMMANDS_QUEUED_PEAK: the most commands that were read and not handled;
 * <li>WATCHES_BROKEN: times that the current watch of the host list ended or did not answer in time.
 * </ul>
 */
public enum Counter {
  CLIENT_CONNECTIONS, CLIENT_CONNECTIONS_CLOSED_FULL, CLIENT_CONNECTIONS_CLOSED_STALE,
  CLIENT_CONNECTIONS_CLOSED_BACKLOG,
  REQUESTS_TAKEN, REQUESTS_GONE, BAD_COMMANDS, IDS_USED_BEFORE,
  ANSWERED_SERVED, ANSWERED_REFUSED, ANSWERED_FAILED,
  GIVEN_UP_NO_ROOM, GIVEN_UP_NOT_QUEUED, GIVEN_UP_TIME_OVER, GIVEN_UP_NO_ATTEMPTS_LEFT,
  GIVEN_UP_RETRIES_LIMITED, GIVEN_UP_OUT_OF_RESOURCES, GIVEN_UP_NOT_STATED,
  ATTEMPTS_SENT, ATTEMPTS_OK, ATTEMPTS_MISS, ATTEMPTS_ERROR, ATTEMPTS_FULL, ATTEMPTS_TIMEOUT,
  ATTEMPTS_CONNECT_FAILED, ATTEMPTS_RESET, ATTEMPTS_CANCELLED, ATTEMPTS_NOT_SENT, ATTEMPTS_DISCARDED,
  REPLIES_AWAITED, REPLIES_TIMED_OUT,
  UPSTREAM_CONNECTIONS, UPSTREAM_BAD_REPLIES, PROBES_SENT,
  VALUES_STREAMED, VALUES_CUT_OFF, VALUES_DISCARDED, MEMORY_HELD_PEAK_BYTES, READ_AHEAD_PEAK_BYTES,
  COMMANDS_QUEUED_PEAK,
  CONFIG_APPLIED,
  CONFIG_REJECTED,
  OPS_CALLS_UNFINISHED, NODES_OUT, NODES_BACK,
  MEMBER_MESSAGES_SENT, MEMBER_BYTES_SENT, MEMBER_BYTES_RECEIVED,
  MEMBER_MESSAGES_DROPPED, MEMBERS_DIED, MEMBERS_BACK,
  LISTS_RECEIVED, WATCHES_BROKEN, LOGIC_EXCEPTIONS, ANSWERS_OVERDUE, INVARIANTS_BROKEN
}
