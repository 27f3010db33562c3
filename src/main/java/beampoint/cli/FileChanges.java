package beampoint.cli;

import beampoint.files.FileStamp;
import java.nio.file.Path;

/** Tells whether a file has been written or replaced since it was last asked. */
final class FileChanges {

  private final Path file;
  private FileStamp last;

  FileChanges(Path file) {
    this.file = file;
    this.last = FileStamp.of(file);
  }

  /** True once after each change; a file that can't be seen for a moment has not changed. */
  boolean changed() {
    FileStamp now = FileStamp.of(file);
    boolean changed = now != null && !now.equals(last);
    last = now == null ? last : now;
    return changed;
  }
}
