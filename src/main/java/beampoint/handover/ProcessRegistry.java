package beampoint.handover;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * How many processes of one proxy there are: each holds a lock on a byte of one file, its seat. The system
 * drops locks with their process, however that ends: nothing is left behind that could pass for a process.
 */
public final class ProcessRegistry implements Closeable {

  /**
   * Processes of one proxy that can be told apart: no more can be started by mistake than a machine holds.
   * They cost nothing until they are there, as free seats are asked for in one call.
   */
  static final int MAX_PROCESSES = 1_024;

  private final FileChannel file;
  private final int seat;
  private final FileLock sits;

  public ProcessRegistry(Path path) throws IOException {
    file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ,
        StandardOpenOption.WRITE);
    int free = 0;
    FileLock lock = lock(free, 1, false);
    while (lock == null && ++free < MAX_PROCESSES) {
      lock = lock(free, 1, false);
    }
    if (lock == null) {
      file.close();
      throw new IOException("more processes of this proxy than there may be: " + MAX_PROCESSES);
    }
    seat = free;
    sits = lock;
  }

  private FileLock lock(int from, int seats, boolean shared) throws IOException {
    try {
      return file.tryLock(from, seats, shared);
    } catch (OverlappingFileLockException e) {
      return null; // held by another proxy in this Java machine, as tests have them
    }
  }

  /**
   * How many of these seats are held by others: none in one call, else by halves. A shared lock is asked for
   * and given back: two that look at once do not take each other for a holder.
   */
  private int held(int from, int seats) throws IOException {
    if (seats == 0) {
      return 0;
    }
    FileLock lock = lock(from, seats, true);
    if (lock != null) {
      lock.release();
      return 0;
    }
    if (seats == 1) {
      return 1;
    }
    int half = seats / 2;
    return held(from, half) + held(from + half, seats - half);
  }

  /** How many processes there are, this one among them. */
  public int count() throws IOException {
    return 1 + held(0, seat) + held(seat + 1, MAX_PROCESSES - seat - 1);
  }

  @Override
  public void close() throws IOException {
    sits.release();
    file.close();
  }
}
