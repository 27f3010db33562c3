package beampoint.cli;

import beampoint.files.FileStamp;
import java.nio.file.Path;

/** Detects whether a file has been written or replaced since the last check. */
final class FileChanges {

  private final Path file;
  private FileStamp last;

  FileChanges(Path file) {
    this.file = file;
    this.last = FileStamp.of(file);
  }

  /** True once after each change. A file whose attributes can't be read at the moment counts as unchanged. */
  boolean changed() {
    FileStamp now = FileStamp.of(file);
    boolean changed = now != null && !now.equals(last);
    last = now == null ? last : now;
    return changed;
  }
}
