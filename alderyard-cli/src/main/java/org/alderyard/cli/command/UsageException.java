package org.alderyard.cli.command;

import java.util.Optional;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;

/** A command line is wrong; the message says what was wrong and what is accepted. */
public class UsageException extends AlderyardException {
  private static final long serialVersionUID = 1L;

  private final transient Optional<CommandSpec> spec;

  /** Creates an error about a sub-command's options or arguments. */
  public UsageException(CommandSpec spec, String problem) {
    super(ErrorCode.BAD_REQUEST, Outcome.NOT_RUN, spec.name() + ": " + problem);
    this.spec = Optional.of(spec);
  }

  /** Creates an error about the sub-command itself. */
  public UsageException(String problem) {
    super(ErrorCode.BAD_REQUEST, Outcome.NOT_RUN, problem);
    spec = Optional.empty();
  }

  /** Returns the sub-command that was meant, if it is known. */
  public Optional<CommandSpec> spec() {
    return spec;
  }
}
