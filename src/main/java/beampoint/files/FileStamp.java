package beampoint.files;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;

/**
 * Identifies one state of a file. Two stamps differ if the file was modified with a new modification time or
 * size, or was replaced by another file.
 */
public record FileStamp(FileTime modified, long size, String fileKey) {

  /** Returns the present state of a file, or null if its attributes can't be read. */
  public static FileStamp of(Path file) {
    try {
      BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
      return new FileStamp(attributes.lastModifiedTime(), attributes.size(),
          String.valueOf(attributes.fileKey()));
    } catch (IOException e) {
      return null;
    }
  }
}
