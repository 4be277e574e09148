package org.alderyard.control.store;

import java.nio.file.Path;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;

/** A file of the data folder can't be used; names the file, the place and what can be done. */
public final class StorageException extends AlderyardException {
  private static final long serialVersionUID = 1L;

  private final transient Path file;
  private final long offsetBytes;

  private StorageException(
      ErrorCode code, Outcome outcome, Path file, long offsetBytes, String text, Throwable cause) {
    super(code, outcome, text, cause);
    this.file = file;
    this.offsetBytes = offsetBytes;
  }

  /** Returns the error for bytes that were synced and now read differently. */
  public static StorageException damaged(Path file, long offsetBytes, String problem) {
    String text =
        file
            + " is damaged at byte "
            + offsetBytes
            + ": "
            + problem
            + ". Don't repair it by hand: move the data folder away and start this host with an"
            + " empty one; it returns as a new replica and copies the log from the others.";
    return new StorageException(
        ErrorCode.STORAGE_DAMAGED, Outcome.NOT_RUN, file, offsetBytes, text, null);
  }

  /** Returns the error for a write or sync that failed; the host must stop. */
  public static StorageException failed(Path file, long offsetBytes, Throwable cause) {
    String text =
        "can't write "
            + file
            + " at byte "
            + offsetBytes
            + ": "
            + cause.getMessage()
            + ". The host stops, since nobody knows what is on the disk. Check its space and its"
            + " health, then start the host again.";
    return new StorageException(
        ErrorCode.STORAGE_FAILED, Outcome.OUTCOME_UNKNOWN, file, offsetBytes, text, cause);
  }

  /** Returns the error for a folder that this process must not use. */
  public static StorageException refused(Path file, String problem) {
    return new StorageException(
        ErrorCode.SETTINGS_INVALID, Outcome.NOT_RUN, file, 0, file + ": " + problem, null);
  }

  /** Returns the file at fault. */
  public Path file() {
    return file;
  }

  /** Returns where in the file the fault is. */
  public long offsetBytes() {
    return offsetBytes;
  }
}
