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
 * The bans of one proxy, kept in a file that its processes share. Of what file and memory say of one node the
 * later holds, and neither forgets what the other lacks: a file that is missing, spoilt or can't be written
 * costs a log line, and no ban.
 */
public final class BanFile implements Closeable {

  /**
   * Nodes that may be known to have been out: a whole list of them, and those that were replaced within the
   * time for which a call back is kept.
   */
  public static final int MAX_BANS = 4_096;
  private static final Log LOG = Log.of("handover");
  private static final int VERSION = 1;
  /** Of the file: all bans with names as long as those of DNS may be. Guards against a file that is none. */
  static final int MAX_FILE_BYTES = 2 * 1024 * 1024;
  private static final double KEPT_MS = 600_000; // after a call back, longer than any cache needs to warm up
  private static final int LOCK_TRIES = 25;
  private static final long LOCK_WAIT_MS = 2;

  private final Path path;
  private final Path lockPath;
  private final String proxy;
  private final Map<String, Ban> bans = new TreeMap<>();
  private FileChannel lockFile;
  private FileStamp seen; // of the file, when it was last read or written

  public BanFile(Path path, String proxy) {
    this.path = path;
    this.lockPath = path.resolveSibling(path.getFileName() + ".lock");
    this.proxy = proxy;
  }

  /** All that is known, also of nodes that came back not long ago. */
  public Collection<Ban> bans() {
    return List.copyOf(bans.values());
  }

  /** The ban on a node, or null where it was never out, or came back long ago. */
  public Ban get(String node) {
    return bans.get(node);
  }

  /** Calls a node out or back; false, and nothing done, where too many are out. Only memory is changed. */
  public boolean setBanned(String node, boolean out, double now) {
    bans.values().removeIf(b -> !b.isOut() && now - b.until() > KEPT_MS);
    Ban ban = bans.get(node);
    if (out && (ban == null || !ban.isOut())) {
      if (bans.size() >= MAX_BANS) {
        return false;
      }
      bans.put(node, new Ban(node, now, Double.POSITIVE_INFINITY));
    } else if (!out && ban != null && ban.isOut()) {
      bans.put(node, new Ban(node, ban.since(), now));
    }
    return true;
  }

  /** Takes over what another process has stored since; returns what is new. */
  public List<Ban> refresh() {
    FileStamp state = FileStamp.of(path);
    if (Objects.equals(state, seen)) {
      return List.of();
    }
    seen = state;
    return merge(read());
  }

  /**
   * Stores what is known, with what another process has stored meanwhile; returns what is new of that. Guards
   * against a file that no process would read: one that would be too long is not written.
   */
  public List<Ban> store() throws IOException {
    FileLock lock = lock();
    try {
      List<Ban> changed = merge(read());
      Path next = path.resolveSibling(path.getFileName() + "." + ProcessHandle.current().pid());
      byte[] bytes = json().getBytes(StandardCharsets.UTF_8);
      if (bytes.length > MAX_FILE_BYTES) {
        throw new IOException("too long: " + bytes.length + " bytes, " + MAX_FILE_BYTES + " at most");
      }
      Files.write(next, bytes);
      Files.move(next, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      seen = FileStamp.of(path);
      return changed;
    } finally {
      if (lock != null) {
        lock.release();
      }
    }
  }

  /** Guards against two processes of which one overwrites what the other has just stored. */
  private FileLock lock() throws IOException {
    if (lockFile == null) {
      lockFile = FileChannel.open(lockPath, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }
    for (int i = 0; i < LOCK_TRIES; i++) {
      try {
        FileLock lock = lockFile.tryLock();
        if (lock != null) {
          return lock;
        }
        Thread.sleep(LOCK_WAIT_MS);
      } catch (OverlappingFileLockException e) {
        return null; // two proxies in one Java machine, as tests have them
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return null;
      }
    }
    LOG.warn("the ban file stays locked; written without the lock");
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
        throw new JsonParseException("too long");
      }
      return parse(Files.readString(path));
    } catch (NoSuchFileException e) {
      return List.of();
    } catch (IOException | RuntimeException e) {
      LOG.error("the ban file can't be read and is left out: " + e.getMessage());
      return List.of();
    }
  }

  private List<Ban> parse(String text) {
    JsonObject json = JsonParser.parseString(text).getAsJsonObject();
    if (json.get("version").getAsInt() != VERSION || !json.get("proxy").getAsString().equals(proxy)) {
      throw new JsonParseException("of another version or proxy");
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
      if (!ban.isOut()) {
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
