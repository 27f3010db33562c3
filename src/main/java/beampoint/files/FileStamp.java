package beampoint.files;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;

/** Tells one state of a file from the next: written later, of another size, or another file in its place. */
public record FileStamp(FileTime written, long size, String key) {

  /** The file as it is now, or null where it can't be seen. */
  public static FileStamp of(Path file) {
    try {
      BasicFileAttributes seen = Files.readAttributes(file, BasicFileAttributes.class);
      return new FileStamp(seen.lastModifiedTime(), seen.size(), String.valueOf(seen.fileKey()));
    } catch (IOException e) {
      return null;
    }
  }
}
