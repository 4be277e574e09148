package org.alderyard.control.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * Disk on real files that ends the process, or the power, before a chosen operation.
 *
 * <p>After a power loss a file has what its last sync covered. Each later write is kept, torn or
 * lost, or all of them are lost. Each name that was created, replaced or removed since the last
 * sync of its folder is kept as it was before or after.
 */
final class PowerLossDisk implements Disk {
  /** Thrown by the operation at which the process ends, and by each one after it. */
  static final class Ended extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }

  private static final int SECTOR_BYTES = 16;

  /** Content of one file, whatever its name. */
  private static final class Content {
    private byte[] synced = new byte[0];
    // The content as a running process reads it, after each operation since the last sync.
    private final List<byte[]> unsynced = new ArrayList<>();

    byte[] current() {
      return unsynced.isEmpty() ? synced : unsynced.get(unsynced.size() - 1);
    }

    void sync() {
      synced = current();
      unsynced.clear();
    }
  }

  private final Path folder;
  private final RandomGenerator random;
  private Map<String, Content> syncedNames = new HashMap<>();
  private Map<String, Content> names = new HashMap<>();
  private final List<SyncedFile> openFiles = new ArrayList<>();
  private long operationsLeft = Long.MAX_VALUE;

  PowerLossDisk(Path folder, RandomGenerator random) {
    this.folder = folder;
    this.random = random;
  }

  /** Ends the process before the operation after the given number of them. */
  void endAfter(long operations) {
    operationsLeft = operations;
  }

  private void begin() {
    if (operationsLeft <= 0) {
      throw new Ended();
    }
    operationsLeft--;
  }

  @Override
  public SyncedFile open(Path path) throws IOException {
    begin();
    String name = path.getFileName().toString();
    Content content = names.computeIfAbsent(name, created -> new Content());
    SyncedFile real = SyncedFile.openOnDisk(path);
    openFiles.add(real);
    return new SyncedFile() {
      @Override
      public void append(ByteBuffer bytes) throws IOException {
        begin();
        byte[] before = content.current();
        byte[] after = Arrays.copyOf(before, before.length + bytes.remaining());
        bytes.get(after, before.length, bytes.remaining());
        content.unsynced.add(after);
        real.append(ByteBuffer.wrap(after, before.length, after.length - before.length));
      }

      @Override
      public void sync() {
        begin();
        content.sync();
      }

      @Override
      public void close() throws IOException {
        real.close();
      }
    };
  }

  @Override
  public void rename(Path from, Path to) throws IOException {
    begin();
    names.put(to.getFileName().toString(), names.remove(from.getFileName().toString()));
    Disk.super.rename(from, to);
  }

  @Override
  public void delete(Path file) throws IOException {
    begin();
    names.remove(file.getFileName().toString());
    Disk.super.delete(file);
  }

  @Override
  public void truncate(Path file, long lengthBytes) throws IOException {
    begin();
    Content content = names.get(file.getFileName().toString());
    content.unsynced.add(Arrays.copyOf(content.current(), Math.toIntExact(lengthBytes)));
    Disk.super.truncate(file, lengthBytes);
    begin();
    content.sync();
  }

  @Override
  public void syncFolder(Path path) {
    begin();
    syncedNames = new HashMap<>(names);
  }

  /** Starts the next process; the files are as the last one left them. */
  void restartProcess() throws IOException {
    for (SyncedFile file : openFiles) {
      file.close();
    }
    openFiles.clear();
    operationsLeft = Long.MAX_VALUE;
  }

  /** Replaces the files by what a power loss may leave of them, and starts the next process. */
  void losePower() throws IOException {
    restartProcess();
    Set<String> all = new TreeSet<>(syncedNames.keySet());
    all.addAll(names.keySet());
    Map<String, Content> kept = new HashMap<>();
    boolean allLost = random.nextInt(4) == 0;
    Set<Content> reduced = new HashSet<>();
    for (String name : all) {
      Map<String, Content> source = allLost || random.nextBoolean() ? syncedNames : names;
      Content content = source.get(name);
      if (content == null) {
        continue;
      }
      kept.put(name, content);
      if (reduced.add(content)) {
        content.synced = allLost ? content.synced : contentAfterPowerLoss(content);
        content.unsynced.clear();
      }
    }
    names = kept;
    syncedNames = new HashMap<>(kept);
    writeFiles();
  }

  /** Applies each change since the last sync to what is left of those before it, or a part. */
  private byte[] contentAfterPowerLoss(Content content) {
    byte[] result = content.synced;
    byte[] before = content.synced;
    for (byte[] after : content.unsynced) {
      int choice = random.nextInt(4);
      if (after.length < before.length) {
        result = choice < 2 ? Arrays.copyOf(result, Math.min(result.length, after.length)) : result;
      } else if (choice > 0) {
        result = withPartOfWrite(result, before.length, after, choice);
      }
      before = after;
    }
    return result;
  }

  private byte[] withPartOfWrite(byte[] file, int start, byte[] after, int choice) {
    int end = choice == 1 ? after.length : start + random.nextInt(after.length - start + 1);
    byte[] result = Arrays.copyOf(file, Math.max(file.length, end));
    for (int position = start; position < end; position += SECTOR_BYTES) {
      boolean sectorLost = choice == 3 && random.nextInt(3) == 0;
      int sectorEnd = Math.min(end, position + SECTOR_BYTES);
      if (!sectorLost) {
        System.arraycopy(after, position, result, position, sectorEnd - position);
      }
    }
    return result;
  }

  private void writeFiles() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    for (Map.Entry<String, Content> file : names.entrySet()) {
      Files.write(folder.resolve(file.getKey()), file.getValue().synced);
    }
  }
}
