package org.alderyard.control.store;

import java.nio.file.Path;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;

/**
 * Thrown when a file of the data folder cannot be used. The message states the file, the offset
 * where it is known, and the recommended action.
 */
public final class StorageException extends AlderyardException {
  private static final long serialVersionUID = 1L;

  private final transient Path file;
  private final long offsetBytes;

  private StorageException(
      ErrorCode code,
      Outcome outcome,
      Path file,
      long offsetBytes,
      String message,
      Throwable cause) {
    super(code, outcome, message, cause);
    this.file = file;
    this.offsetBytes = offsetBytes;
  }

  /** Creates the exception for synced data that is damaged or missing. */
  public static StorageException damaged(Path file, long offsetBytes, String problem) {
    String message =
        file
            + " is damaged at byte "
            + offsetBytes
            + ": "
            + problem
            + ". Do not repair the file manually: move the data folder away and start this host"
            + " with an empty one. The host then rejoins as a new replica and copies the log from"
            + " other hosts.";
    return new StorageException(
        ErrorCode.STORAGE_DAMAGED, Outcome.NOT_RUN, file, offsetBytes, message, null);
  }

  /** Creates the exception for a failed file operation, after which the host must stop. */
  public static StorageException failed(Path file, long offsetBytes, Throwable cause) {
    String message =
        "cannot access "
            + file
            + " at byte "
            + offsetBytes
            + ": "
            + cause.getMessage()
            + ". The host stops because the state of the data on the disk is unknown. Check the"
            + " free space and the health of the disk, then restart the host.";
    return new StorageException(
        ErrorCode.STORAGE_FAILED, Outcome.OUTCOME_UNKNOWN, file, offsetBytes, message, cause);
  }

  /** Creates the exception for a file or folder that this process must not use. */
  public static StorageException refused(Path file, String problem) {
    return new StorageException(
        ErrorCode.SETTINGS_INVALID, Outcome.NOT_RUN, file, 0, file + ": " + problem, null);
  }

  /** Returns the file or folder that caused the exception. */
  public Path file() {
    return file;
  }

  /** Returns the byte offset of the fault in the file, or 0 if it is unknown. */
  public long offsetBytes() {
    return offsetBytes;
  }
}
