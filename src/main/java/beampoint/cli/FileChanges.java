package beampoint.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;

/** Tells whether a file has been written or replaced since it was last asked. */
final class FileChanges {

  private final Path file;
  private Stamp last;

  private record Stamp(FileTime written, long size, Object file) {}

  FileChanges(Path file) {
    this.file = file;
    this.last = stamp();
  }

  /** True once after each change; a file that can't be seen for a moment has not changed. */
  boolean changed() {
    Stamp now = stamp();
    boolean changed = now != null && !now.equals(last);
    last = now == null ? last : now;
    return changed;
  }

  private Stamp stamp() {
    try {
      BasicFileAttributes seen = Files.readAttributes(file, BasicFileAttributes.class);
      return new Stamp(seen.lastModifiedTime(), seen.size(), seen.fileKey());
    } catch (IOException e) {
      return null;
    }
  }
}
