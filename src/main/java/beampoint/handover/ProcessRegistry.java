package beampoint.handover;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Counts the running processes of one proxy: each holds a lock on one byte of a shared file, its slot. The
 * system releases the locks of a process however it ends, so that no ended process is ever counted.
 */
public final class ProcessRegistry implements Closeable {

  /**
   * The maximum number of processes of one proxy, more than could be started by mistake on one machine. Free
   * slots cost nothing, as a range of them is checked in one call.
   */
  static final int MAX_PROCESSES = 1_024;

  private final FileChannel file;
  private final int slot;
  private final FileLock slotLock;

  /**
   * Registers this process, by locking the first free slot of the file.
   *
   * @throws IOException if the file can't be used, or there are too many processes
   */
  public ProcessRegistry(Path path) throws IOException {
    file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ,
        StandardOpenOption.WRITE);
    int candidate = 0;
    FileLock lock = lock(candidate, 1, false);
    while (lock == null && ++candidate < MAX_PROCESSES) {
      lock = lock(candidate, 1, false);
    }
    if (lock == null) {
      file.close();
      throw new IOException("too many processes of this proxy, the limit is " + MAX_PROCESSES);
    }
    slot = candidate;
    slotLock = lock;
  }

  private FileLock lock(int from, int slots, boolean shared) throws IOException {
    try {
      return file.tryLock(from, slots, shared);
    } catch (OverlappingFileLockException e) {
      return null; // held by another proxy in this JVM, as in tests
    }
  }

  /**
   * Counts the slots in a range that are held by others: checks the whole range in one call, and if any is
   * held each half in turn. The check takes a shared lock and releases it: another process that checks at
   * the same time is not refused its lock, and so does not count the check as a held slot.
   */
  private int countHeld(int from, int slots) throws IOException {
    if (slots == 0) {
      return 0;
    }
    FileLock lock = lock(from, slots, true);
    if (lock != null) {
      lock.release();
      return 0;
    }
    if (slots == 1) {
      return 1;
    }
    int half = slots / 2;
    return countHeld(from, half) + countHeld(from + half, slots - half);
  }

  /** The number of processes, including this one. */
  public int count() throws IOException {
    return 1 + countHeld(0, slot) + countHeld(slot + 1, MAX_PROCESSES - slot - 1);
  }

  @Override
  public void close() throws IOException {
    slotLock.release();
    file.close();
  }
}
