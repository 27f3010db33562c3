package beampoint.handover;

import beampoint.files.FileStamp;
import beampoint.log.Log;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The bans of one proxy, kept in a file that its processes share. Memory and file are merged: for each node
 * the later change is valid, and a ban that only one of them has is kept. So a file that is missing, corrupt
 * or not writable causes a log line, but loses no ban.
 */
public final class BanFile implements Closeable {

  /**
   * The maximum number of nodes with a ban, current or lifted: enough for a full host list, and for the nodes
   * that were replaced while lifted bans are kept.
   */
  public static final int MAX_BANS = 4_096;
  private static final Log LOG = Log.of("handover");
  private static final int VERSION = 1;
  /**
   * The maximum length of the file: all bans, with names of the maximum length in DNS. Longer files are
   * invalid.
   */
  static final int MAX_FILE_BYTES = 2 * 1024 * 1024;
  /**
   * How long lifted bans are kept: longer than any cache node needs to warm up, so that other processes learn
   * of the ban of a node that may still be warming up.
   */
  private static final double LIFTED_BAN_RETENTION_MS = 600_000;
  private static final int LOCK_ATTEMPTS = 25;
  private static final long LOCK_RETRY_INTERVAL_MS = 2;

  private final Path path;
  private final Path lockPath;
  private final String proxy;
  private final Map<String, Ban> bans = new TreeMap<>();
  private FileChannel lockFile;
  private FileStamp lastStamp; // of the file, when it was last read or written

  public BanFile(Path path, String proxy) {
    this.path = path;
    this.lockPath = path.resolveSibling(path.getFileName() + ".lock");
    this.proxy = proxy;
  }

  /** All bans, including lifted ones that are still kept. */
  public Collection<Ban> bans() {
    return List.copyOf(bans.values());
  }

  /** The ban of a node, or null if it was never banned, or its lifted ban is not kept any more. */
  public Ban get(String node) {
    return bans.get(node);
  }

  /**
   * Bans a node or lifts its ban, in memory only; returns false, and has no effect, if there are too many
   * bans.
   */
  public boolean setBanned(String node, boolean banned, double now) {
    bans.values().removeIf(b -> !b.isActive() && now - b.until() > LIFTED_BAN_RETENTION_MS);
    Ban ban = bans.get(node);
    if (banned && (ban == null || !ban.isActive())) {
      if (bans.size() >= MAX_BANS) {
        return false;
      }
      bans.put(node, new Ban(node, now, Double.POSITIVE_INFINITY));
    } else if (!banned && ban != null && ban.isActive()) {
      bans.put(node, new Ban(node, ban.since(), now));
    }
    return true;
  }

  /** Merges what another process has stored since; returns the bans that changed. */
  public List<Ban> refresh() {
    FileStamp stamp = FileStamp.of(path);
    if (Objects.equals(stamp, lastStamp)) {
      return List.of();
    }
    lastStamp = stamp;
    return merge(read());
  }

  /**
   * Stores all bans, merged with what another process has stored meanwhile; returns the bans that this
   * changed in memory.
   *
   * @throws IOException also if the file would be too long, as no process would read it
   */
  public List<Ban> store() throws IOException {
    FileLock lock = lock();
    try {
      List<Ban> changed = merge(read());
      Path next = path.resolveSibling(path.getFileName() + "." + ProcessHandle.current().pid());
      byte[] bytes = json().getBytes(StandardCharsets.UTF_8);
      if (bytes.length > MAX_FILE_BYTES) {
        throw new IOException(
            "too long: " + bytes.length + " bytes, the limit is " + MAX_FILE_BYTES + " bytes");
      }
      Files.write(next, bytes);
      Files.move(next, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      lastStamp = FileStamp.of(path);
      return changed;
    } finally {
      if (lock != null) {
        lock.release();
      }
    }
  }

  /**
   * Locks the file, so that no process overwrites what another one has just stored; returns null if that
   * fails.
   */
  private FileLock lock() throws IOException {
    if (lockFile == null) {
      lockFile = FileChannel.open(lockPath, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }
    for (int i = 0; i < LOCK_ATTEMPTS; i++) {
      try {
        FileLock lock = lockFile.tryLock();
        if (lock != null) {
          return lock;
        }
        Thread.sleep(LOCK_RETRY_INTERVAL_MS);
      } catch (OverlappingFileLockException e) {
        return null; // two proxies in one JVM, as in tests
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return null;
      }
    }
    LOG.warn("the ban file is locked by another process, writing it without the lock");
    return null;
  }

  private List<Ban> merge(List<Ban> others) {
    List<Ban> changed = new ArrayList<>();
    for (Ban other : others) {
      Ban own = bans.get(other.node());
      if (own == null ? bans.size() < MAX_BANS : own.changedAt() < other.changedAt()) {
        bans.put(other.node(), other);
        changed.add(other);
      }
    }
    return changed;
  }

  private List<Ban> read() {
    try {
      if (Files.size(path) > MAX_FILE_BYTES) {
        throw new JsonParseException("longer than " + MAX_FILE_BYTES + " bytes");
      }
      return parse(Files.readString(path));
    } catch (NoSuchFileException e) {
      return List.of();
    } catch (IOException | RuntimeException e) {
      LOG.error("the ban file can't be read and is ignored: " + e.getMessage());
      return List.of();
    }
  }

  private List<Ban> parse(String text) {
    JsonObject json = JsonParser.parseString(text).getAsJsonObject();
    if (json.get("version").getAsInt() != VERSION || !json.get("proxy").getAsString().equals(proxy)) {
      throw new JsonParseException("written for another version or proxy");
    }
    List<Ban> read = new ArrayList<>();
    for (JsonElement element : json.getAsJsonArray("bans")) {
      JsonObject ban = element.getAsJsonObject();
      read.add(new Ban(ban.get("node").getAsString(), ban.get("since").getAsDouble(),
          ban.has("until") ? ban.get("until").getAsDouble() : Double.POSITIVE_INFINITY));
    }
    return read;
  }

  private String json() {
    JsonArray list = new JsonArray();
    for (Ban ban : bans.values()) {
      JsonObject entry = new JsonObject();
      entry.addProperty("node", ban.node());
      entry.addProperty("since", ban.since());
      if (!ban.isActive()) {
        entry.addProperty("until", ban.until());
      }
      list.add(entry);
    }
    JsonObject json = new JsonObject();
    json.addProperty("version", VERSION);
    json.addProperty("proxy", proxy);
    json.add("bans", list);
    return json.toString();
  }

  @Override
  public void close() throws IOException {
    if (lockFile != null) {
      lockFile.close();
    }
  }
}
