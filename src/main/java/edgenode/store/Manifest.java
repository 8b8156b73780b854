package edgenode.store;

import edgenode.store.StoreException.Reason;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The list of the store's segments: lines of text, the last of them the CRC32C of those before.
 * Replaced atomically: written to a temporary file, synced, renamed, the directory synced.
 *
 * @param nextSegmentId the id of the next segment to be created
 * @param segments the oldest first; the last one is still written to
 */
record Manifest(long nextSegmentId, List<Entry> segments) {
  /**
   * A segment.
   *
   * @param sizeBytes its size when it was closed; without meaning for the last segment
   */
  record Entry(long id, long sizeBytes) {}

  static final String FILE_NAME = "MANIFEST";
  private static final String TEMPORARY_FILE_NAME = "MANIFEST.new";
  private static final String VERSION_PREFIX = "nickelstand store ";
  private static final String NEXT_ID_PREFIX = "next ";
  private static final String CHECKSUM_PREFIX = "crc32c ";

  /** A segment takes some 40 bytes. */
  private static final int MAX_BYTES = 16 << 20;

  private static String checksumLine(String text) {
    CRC32C crc = new CRC32C();
    crc.update(text.getBytes(StandardCharsets.UTF_8));
    return String.format(CHECKSUM_PREFIX + "%08x\n", crc.getValue());
  }

  /** Replaces the manifest of the directory; durable on return. */
  void write(StoreDirectory directory) throws StorageIoException {
    StringBuilder text = new StringBuilder();
    text.append(VERSION_PREFIX).append(SegmentFormat.FORMAT_VERSION).append('\n');
    text.append(NEXT_ID_PREFIX).append(nextSegmentId).append('\n');
    for (Entry entry : segments) {
      text.append("segment ").append(entry.id).append(' ').append(entry.sizeBytes).append('\n');
    }
    text.append(checksumLine(text.toString()));
    StoreFile file = directory.open(TEMPORARY_FILE_NAME, true);
    try {
      file.write(ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.UTF_8)), 0);
      file.sync();
    } finally {
      file.close();
    }
    directory.rename(TEMPORARY_FILE_NAME, FILE_NAME);
    directory.syncDirectory();
  }

  /**
   * Reads the manifest of the directory.
   *
   * @throws StoreException DAMAGED where the checksum does not match, NEWER for a later format
   */
  static Manifest read(StoreDirectory directory) throws StorageIoException, StoreException {
    String text = readText(directory);
    int checksumIndex = text.lastIndexOf(CHECKSUM_PREFIX);
    if (checksumIndex < 0
        || !text.substring(checksumIndex).equals(checksumLine(text.substring(0, checksumIndex)))) {
      throw new StoreException(Reason.DAMAGED, FILE_NAME + ": its checksum does not match");
    }
    return parse(text.substring(0, checksumIndex).split("\n"));
  }

  private static String readText(StoreDirectory directory) throws StorageIoException {
    StoreFile file = directory.open(FILE_NAME, false);
    try {
      ByteBuffer bytes = ByteBuffer.allocate((int) Math.min(MAX_BYTES, file.size()));
      file.read(bytes, 0);
      return new String(bytes.array(), 0, bytes.position(), StandardCharsets.UTF_8);
    } finally {
      file.close();
    }
  }

  private static Manifest parse(String[] lines) throws StoreException {
    int version = Integer.parseInt(lines[0].substring(VERSION_PREFIX.length()));
    if (version > SegmentFormat.FORMAT_VERSION) {
      throw SegmentFormat.newerFormat(FILE_NAME, version);
    }
    long nextSegmentId = Long.parseLong(lines[1].substring(NEXT_ID_PREFIX.length()));
    List<Entry> segments = new ArrayList<>();
    for (int i = 2; i < lines.length; i++) {
      String[] words = lines[i].split(" ");
      segments.add(new Entry(Long.parseLong(words[1]), Long.parseLong(words[2])));
    }
    return new Manifest(nextSegmentId, segments);
  }
}
