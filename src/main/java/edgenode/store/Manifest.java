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
record Manifest(long next, List<long[]> segments) {
  static final String NAME = "MANIFEST";
  private static final String ASIDE = "MANIFEST.new";
  private static final String FIRST = "nickelstand store ";

  /** Some 40 bytes a segment. */
  private static final int MOST = 16 << 20;

  private static String check(String text) {
    CRC32C crc = new CRC32C();
    crc.update(text.getBytes(StandardCharsets.UTF_8));
    return String.format("crc32c %08x%n", crc.getValue()).replace("\r", "");
  }

  void write(Disk disk) throws Disk.DiskException {
    StringBuilder text = new StringBuilder(FIRST + Frames.VERSION + "\nnext " + next + "\n");
    segments.forEach(
        s -> text.append("segment ").append(s[0]).append(' ').append(s[1]).append('\n'));
    text.append(check(text.toString()));
    Disk.File file = disk.open(ASIDE, true);
    try {
      file.write(ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.UTF_8)), 0);
      file.sync();
    } finally {
      file.close();
    }
    disk.rename(ASIDE, NAME);
    disk.syncFolder();
  }

  static Manifest read(Disk disk) throws Disk.DiskException, StoreException {
    Disk.File file = disk.open(NAME, false);
    String text;
    try {
      ByteBuffer b = ByteBuffer.allocate((int) Math.min(MOST, file.size()));
      file.read(b, 0);
      text = new String(b.array(), 0, b.position(), StandardCharsets.UTF_8);
    } finally {
      file.close();
    }
    int crc = text.lastIndexOf("crc32c ");
    if (crc < 0 || !text.substring(crc).equals(check(text.substring(0, crc)))) {
      throw new StoreException(StoreException.Reason.DAMAGED, NAME + ": its check does not fit");
    }
    String[] lines = text.substring(0, crc).split("\n");
    int version = Integer.parseInt(lines[0].substring(FIRST.length()));
    if (version > Frames.VERSION) {
      throw new StoreException(
          StoreException.Reason.NEWER,
          NAME + " has format " + version + "; this program knows formats up to " + Frames.VERSION);
    }
    List<long[]> segments = new ArrayList<>();
    for (int i = 2; i < lines.length; i++) {
      String[] word = lines[i].split(" ");
      segments.add(new long[] {Long.parseLong(word[1]), Long.parseLong(word[2])});
    }
    return new Manifest(Long.parseLong(lines[1].substring("next ".length())), segments);
  }
}
