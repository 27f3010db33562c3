package beampoint.client;

import beampoint.memcache.Command;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;

/**
 * What came on one connection before there was room to begin it, in its order. Reading goes on meanwhile, as
 * a client's end stands behind all that it has sent. Belongs to the decision thread.
 */
final class CommandBacklog {

  /** What stands next. */
  sealed interface Entry permits Waiting, Answered {

    /** The memory that it takes, in bytes. */
    int bytes();
  }

  /** A command to begin, and when it can have come, in ms. */
  record Waiting(Command command, double readAt) implements Entry {

    @Override
    public int bytes() {
      return ENTRY_BYTES + command.size();
    }
  }

  /** Commands in a row that were answered with the same line; it is written once their turn has come. */
  static final class Answered implements Entry {

    private final String line;
    private int count = 1;

    Answered(String line) {
      this.line = line;
    }

    String line() {
      return line;
    }

    @Override
    public int bytes() {
      return ENTRY_BYTES + 2 * line.length();
    }
  }

  private static final int ENTRY_BYTES = 512; // of an entry beside its texts

  private final Deque<Entry> entries = new ArrayDeque<>();

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Adds a command that has buffers of its own; returns the bytes that it takes. */
  int add(Command command, double readAt) {
    Waiting waiting = new Waiting(command, readAt);
    entries.add(waiting);
    return waiting.bytes();
  }

  /** True where a request waits that is not answered yet. */
  boolean hasRequests() {
    return entries.stream().anyMatch(CommandBacklog::isRequest);
  }

  private static boolean isRequest(Entry entry) {
    return entry instanceof Waiting waiting && waiting.command().isRequest();
  }

  /** Adds the place of an answer; returns the bytes that it takes, 0 behind another with the same line. */
  int addAnswered(String line) {
    if (entries.peekLast() instanceof Answered last && last.line.equals(line)) {
      last.count++;
      return 0;
    }
    Answered answered = new Answered(line);
    entries.add(answered);
    return answered.bytes();
  }

  /** Takes what stands next, one command at a time. */
  Entry poll() {
    Entry next = entries.peek();
    if (!(next instanceof Answered answered) || --answered.count == 0) {
      entries.poll();
    }
    return next;
  }

  /** The bytes that a polled entry has freed: those of a run only with its last answer. */
  int freedBy(Entry polled) {
    return polled == entries.peek() ? 0 : polled.bytes();
  }

  /**
   * Answers the first of the requests that wait; returns by how many bytes less is taken.
   *
   * @param most how many are answered
   * @param answers the line with which a request is answered at once
   */
  int answer(int most, Function<Command, String> answers) {
    Deque<Entry> all = new ArrayDeque<>(entries);
    entries.clear();
    int freed = 0;
    int left = most;
    for (Entry entry : all) {
      if (left > 0 && isRequest(entry)) {
        left--;
        freed += entry.bytes() - addAnswered(answers.apply(((Waiting) entry).command()));
      } else {
        entries.add(entry);
      }
    }
    return freed;
  }

  /** Lets all go; returns the bytes that it took. */
  int clear() {
    int freed = 0;
    for (Entry entry : entries) {
      freed += entry.bytes();
      if (entry instanceof Waiting waiting) {
        waiting.command().release();
      }
    }
    entries.clear();
    return freed;
  }
}
