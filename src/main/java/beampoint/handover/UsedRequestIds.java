package beampoint.handover;

import beampoint.log.Log;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The ids of requests that may have run and must not run again, for some time. A file shares them with
 * another process of the same proxy, which replaces this one or was replaced by it. If the file can't be
 * used, this process still knows its own. Confined to the decision thread.
 */
public final class UsedRequestIds implements Closeable {

  /** How long an id is kept: longer than any client waits for an answer. */
  static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);
  /** The most ids that one process keeps; beyond it the oldest are dropped. */
  static final int MAX_IDS = 8192;

  private static final Log LOG = Log.of("handover");
  private static final int SLOTS_PER_BUCKET = 8;
  private static final int BUCKETS = MAX_IDS / SLOTS_PER_BUCKET;
  private static final int SLOT_BYTES = 2 * Long.BYTES; // the hash of an id, and when it expires
  private static final int BUCKET_BYTES = SLOTS_PER_BUCKET * SLOT_BYTES;
  private static final int LOCK_ATTEMPTS = 3;
  private static final long FNV_OFFSET = 0xcbf29ce484222325L; // FNV-1a, 64 bits
  private static final long FNV_PRIME = 0x100000001b3L;

  private final LongSupplier nanoTime;
  private final Map<String, Long> expiryById = new LinkedHashMap<>(); // of this process, oldest first
  private final ByteBuffer bucket = ByteBuffer.allocate(BUCKET_BYTES);
  private FileChannel file; // null if there is none, or it can't be used

  /** The ids of a process that shares them with no other. */
  public UsedRequestIds() {
    this(null, System::nanoTime);
  }

  /** Shares the ids in a file. Monotonic time is the same for all processes of a machine. */
  public UsedRequestIds(Path path) {
    this(path, System::nanoTime);
  }

  UsedRequestIds(Path path, LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    try {
      file = path == null ? null : FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ,
          StandardOpenOption.WRITE);
    } catch (IOException e) {
      disableFile(e);
    }
  }

  /** Claims an id; returns false if a process of this proxy has claimed it before and not released it. */
  public boolean claim(String id) {
    long now = nanoTime.getAsLong();
    removeExpired(now);
    if (expiryById.containsKey(id) || !claimInFile(hash(id), now)) {
      return false;
    }
    expiryById.put(id, now + RETENTION_NANOS);
    return true;
  }

  /** Gives up the claim of an id whose request has not run. */
  public void release(String id) {
    if (expiryById.remove(id) != null && file != null) {
      long hash = hash(id);
      try {
        readBucket(hash);
        for (int slot = 0; slot < BUCKET_BYTES; slot += SLOT_BYTES) {
          if (bucket.getLong(slot) == hash) {
            writeSlot(hash, slot, 0, 0);
          }
        }
      } catch (IOException e) {
        disableFile(e);
      }
    }
  }

  private void removeExpired(long now) {
    Iterator<Long> expiries = expiryById.values().iterator();
    while (expiries.hasNext() && (expiries.next() - now < 0 || expiryById.size() >= MAX_IDS)) {
      expiries.remove();
    }
  }

  private boolean claimInFile(long hash, long now) {
    if (file == null) {
      return true;
    }
    try {
      FileLock lock = lock();
      try {
        return claimSlot(hash, now);
      } finally {
        if (lock != null) {
          lock.release();
        }
      }
    } catch (IOException e) {
      disableFile(e);
      return true;
    }
  }

  /** Takes a free slot of the bucket, else the one that expires first; false if the hash has a slot. */
  private boolean claimSlot(long hash, long now) throws IOException {
    readBucket(hash);
    int chosen = 0;
    long shortest = Long.MAX_VALUE;
    for (int slot = 0; slot < BUCKET_BYTES; slot += SLOT_BYTES) {
      long left = bucket.getLong(slot + Long.BYTES) - now;
      boolean isValid = left > 0 && left <= RETENTION_NANOS; // another boot of the machine has another time
      if (isValid && bucket.getLong(slot) == hash) {
        return false;
      }
      if ((isValid ? left : 0) < shortest) {
        shortest = isValid ? left : 0;
        chosen = slot;
      }
    }
    writeSlot(hash, chosen, hash, now + RETENTION_NANOS);
    return true;
  }

  private static long offset(long hash) {
    return Long.remainderUnsigned(hash, BUCKETS) * BUCKET_BYTES;
  }

  /** Reads the bucket of a hash; what the file does not have yet is empty. */
  private void readBucket(long hash) throws IOException {
    bucket.clear();
    for (int count = 0; count >= 0 && bucket.hasRemaining();) {
      count = file.read(bucket, offset(hash) + bucket.position());
    }
    while (bucket.hasRemaining()) {
      bucket.put((byte) 0);
    }
  }

  private void writeSlot(long hash, int slot, long storedHash, long expiry) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(SLOT_BYTES).putLong(storedHash).putLong(expiry).flip();
    while (bytes.hasRemaining()) {
      file.write(bytes, offset(hash) + slot + bytes.position());
    }
  }

  /** Locks the file against the other process; null if that holds the lock for too long. */
  private FileLock lock() throws IOException {
    try {
      FileLock lock = file.tryLock();
      for (int i = 1; lock == null && i < LOCK_ATTEMPTS; i++) {
        Thread.onSpinWait();
        lock = file.tryLock();
      }
      return lock;
    } catch (OverlappingFileLockException e) {
      return null; // two proxies in one JVM, as in tests
    }
  }

  private static long hash(String id) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * FNV_PRIME;
    }
    return hash == 0 ? 1 : hash;
  }

  private void disableFile(IOException cause) {
    LOG.error("used request ids can't be shared with another process: " + cause.getMessage());
    close();
  }

  @Override
  public void close() {
    try {
      if (file != null) {
        file.close();
      }
    } catch (IOException e) {
      // nothing is buffered
    }
    file = null;
  }
}
