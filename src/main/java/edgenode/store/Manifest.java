package edgenode.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Which segments there are, the oldest first, with the sizes (bytes) of all but the last, which
 * grows. Lines of text, the last of them their CRC32C. Replaced whole: written aside, synced,
 * renamed, the folder synced.
 */
record Manifest(long nextSegmentId, List<long[]> segments) {
  static final String FILE_NAME = "MANIFEST";
  private static final String TEMPORARY_FILE_NAME = "MANIFEST.new";
  private static final String HEADER_PREFIX = "nickelstand store ";

  /** Some 40 bytes a segment. */
  private static final int MAX_BYTES = 16 << 20;

  private static String checksumLine(String text) {
    CRC32C crc = new CRC32C();
    crc.update(text.getBytes(StandardCharsets.UTF_8));
    return String.format("crc32c %08x%n", crc.getValue()).replace("\r", "");
  }

  void write(StoreDirectory disk) throws StoreDirectory.StorageIoException {
    StringBuilder text =
        new StringBuilder(
            HEADER_PREFIX + SegmentFormat.FORMAT_VERSION + "\nnext " + nextSegmentId + "\n");
    segments.forEach(
        s -> text.append("segment ").append(s[0]).append(' ').append(s[1]).append('\n'));
    text.append(checksumLine(text.toString()));
    StoreDirectory.StoreFile file = disk.open(TEMPORARY_FILE_NAME, true);
    try {
      file.write(ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.UTF_8)), 0);
      file.sync();
    } finally {
      file.close();
    }
    disk.rename(TEMPORARY_FILE_NAME, FILE_NAME);
    disk.syncDirectory();
  }

  static Manifest read(StoreDirectory disk)
      throws StoreDirectory.StorageIoException, StoreException {
    StoreDirectory.StoreFile file = disk.open(FILE_NAME, false);
    String text;
    try {
      ByteBuffer b = ByteBuffer.allocate((int) Math.min(MAX_BYTES, file.size()));
      file.read(b, 0);
      text = new String(b.array(), 0, b.position(), StandardCharsets.UTF_8);
    } finally {
      file.close();
    }
    int crc = text.lastIndexOf("crc32c ");
    if (crc < 0 || !text.substring(crc).equals(checksumLine(text.substring(0, crc)))) {
      throw new StoreException(
          StoreException.Reason.DAMAGED, FILE_NAME + ": its check does not fit");
    }
    String[] lines = text.substring(0, crc).split("\n");
    int version = Integer.parseInt(lines[0].substring(HEADER_PREFIX.length()));
    if (version > SegmentFormat.FORMAT_VERSION) {
      throw new StoreException(
          StoreException.Reason.NEWER,
          FILE_NAME
              + " has format "
              + version
              + "; this program knows formats up to "
              + SegmentFormat.FORMAT_VERSION);
    }
    List<long[]> segments = new ArrayList<>();
    for (int i = 2; i < lines.length; i++) {
      String[] word = lines[i].split(" ");
      segments.add(new long[] {Long.parseLong(word[1]), Long.parseLong(word[2])});
    }
    return new Manifest(Long.parseLong(lines[1].substring("next ".length())), segments);
  }
}
