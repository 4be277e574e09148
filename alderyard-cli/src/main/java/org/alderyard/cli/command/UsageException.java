package org.alderyard.cli.command;

import java.util.Optional;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.Outcome;

/** Reports an invalid command line; the message states the problem and the accepted values. */
public class UsageException extends AlderyardException {
  private static final long serialVersionUID = 1L;

  private final transient Optional<CommandSpec> spec;

  /** Creates an exception about the options or arguments of a sub-command. */
  public UsageException(CommandSpec spec, String problem) {
    super(ErrorCode.BAD_REQUEST, Outcome.NOT_RUN, spec.name() + ": " + problem);
    this.spec = Optional.of(spec);
  }

  /** Creates an exception about a missing or unknown sub-command. */
  public UsageException(String problem) {
    super(ErrorCode.BAD_REQUEST, Outcome.NOT_RUN, problem);
    spec = Optional.empty();
  }

  /** Returns the specification of the sub-command, or empty if the sub-command is unknown. */
  public Optional<CommandSpec> spec() {
    return spec;
  }
}
