package beampoint.client;

import beampoint.memcache.Command;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;

/**
 * The commands of one connection that were read while too many were open, in their order. Reading is not
 * paused meanwhile, as the end of a client's connection is seen only after all that it has sent. Confined to
 * the decision thread.
 */
final class CommandBacklog {

  /** An entry of the queue. */
  sealed interface Entry permits QueuedCommand, QueuedAnswers {

    /** The memory that the entry takes, in bytes. */
    int bytes();
  }

  /** A command to start, and the earliest time at which it can have arrived, in ms. */
  record QueuedCommand(Command command, double arrivedAt) implements Entry {

    @Override
    public int bytes() {
      return ENTRY_OVERHEAD_BYTES + command.size();
    }
  }

  /** Consecutive commands that got the same answer, a line that is written for each in its turn. */
  static final class QueuedAnswers implements Entry {

    private final String line;
    private int count = 1;

    QueuedAnswers(String line) {
      this.line = line;
    }

    String line() {
      return line;
    }

    @Override
    public int bytes() {
      return ENTRY_OVERHEAD_BYTES + 2 * line.length();
    }
  }

  private static final int ENTRY_OVERHEAD_BYTES = 512; // of memory, in addition to its buffers or text

  private final Deque<Entry> entries = new ArrayDeque<>();

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Adds a command, which must have buffers of its own; returns the memory that it takes, in bytes. */
  int add(Command command, double arrivedAt) {
    QueuedCommand queued = new QueuedCommand(command, arrivedAt);
    entries.add(queued);
    return queued.bytes();
  }

  /** True if the next entry is a request that is not answered yet. */
  boolean nextIsRequest() {
    return isRequest(entries.peek());
  }

  /** True if it holds a request that is not answered yet. */
  boolean hasRequests() {
    return entries.stream().anyMatch(CommandBacklog::isRequest);
  }

  private static boolean isRequest(Entry entry) {
    return entry instanceof QueuedCommand queued && queued.command().isRequest();
  }

  /**
   * Adds an answer in the place of its command; returns the memory that it takes, in bytes: 0 if the previous
   * entry is the same answer.
   */
  int addAnswer(String line) {
    if (entries.peekLast() instanceof QueuedAnswers last && last.line.equals(line)) {
      last.count++;
      return 0;
    }
    QueuedAnswers answers = new QueuedAnswers(line);
    entries.add(answers);
    return answers.bytes();
  }

  /**
   * Returns the entry of the next command, and removes it; a {@link QueuedAnswers}, which stands for several
   * commands, is removed with the last of them.
   */
  Entry poll() {
    Entry next = entries.peek();
    if (!(next instanceof QueuedAnswers answers) || --answers.count == 0) {
      entries.poll();
    }
    return next;
  }

  /** The bytes that were freed by polling an entry: for equal answers, only with the last of them. */
  int freedBy(Entry polled) {
    return polled == entries.peek() ? 0 : polled.bytes();
  }

  /**
   * Replaces the first queued requests by their answers; returns how many bytes that frees.
   *
   * @param max how many requests are answered at most
   * @param answers gives the answer line of a request
   */
  int answerRequests(int max, Function<Command, String> answers) {
    Deque<Entry> all = new ArrayDeque<>(entries);
    entries.clear();
    int freed = 0;
    int left = max;
    for (Entry entry : all) {
      if (left > 0 && isRequest(entry)) {
        left--;
        freed += entry.bytes() - addAnswer(answers.apply(((QueuedCommand) entry).command()));
      } else {
        entries.add(entry);
      }
    }
    return freed;
  }

  /** Discards all entries; returns how many bytes that frees. */
  int clear() {
    int freed = 0;
    for (Entry entry : entries) {
      freed += entry.bytes();
      if (entry instanceof QueuedCommand queued) {
        queued.command().release();
      }
    }
    entries.clear();
    return freed;
  }
}
