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
public final class Presence implements Closeable {

  private static final int SEATS = 8;

  private final FileChannel file;
  private final int seat;
  private final FileLock sits;

  public Presence(Path path) throws IOException {
    file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ,
        StandardOpenOption.WRITE);
    int free = 0;
    FileLock lock = lock(free, false);
    while (lock == null && ++free < SEATS) {
      lock = lock(free, false);
    }
    if (lock == null) {
      file.close();
      throw new IOException("more processes than seats: " + SEATS);
    }
    seat = free;
    sits = lock;
  }

  private FileLock lock(int at, boolean shared) throws IOException {
    try {
      return file.tryLock(at, 1, shared);
    } catch (OverlappingFileLockException e) {
      return null; // held by another proxy in this Java machine, as tests have them
    }
  }

  /** A shared lock is asked for and given back: two that look at once do not take each other for a holder. */
  private boolean isHeld(int at) throws IOException {
    FileLock lock = lock(at, true);
    if (lock != null) {
      lock.release();
    }
    return lock == null;
  }

  /** How many processes there are, this one among them. */
  public int count() throws IOException {
    int count = 1;
    for (int i = 0; i < SEATS; i++) {
      count += i != seat && isHeld(i) ? 1 : 0;
    }
    return count;
  }

  @Override
  public void close() throws IOException {
    sits.release();
    file.close();
  }
}
