package org.alderyard.control.operator;

import java.util.List;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.FieldFault;
import org.alderyard.common.error.Outcome;

/** Thrown when a ticket is rejected because it is not valid; contains all faults of the ticket. */
public final class TicketException extends AlderyardException {
  private static final long serialVersionUID = 1L;

  private final transient List<FieldFault> faults;

  /** Creates an exception for a ticket; {@code faults} must not be empty. */
  public TicketException(long number, List<FieldFault> faults) {
    super(
        ErrorCode.TICKET_INVALID,
        Outcome.NOT_RUN,
        "ticket " + number + " has " + faults.size() + " fault(s); first: " + faults.get(0));
    this.faults = List.copyOf(faults);
  }

  @Override
  public List<FieldFault> faults() {
    return faults;
  }
}
