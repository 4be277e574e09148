package org.alderyard.control.operator;

import java.util.List;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.error.FieldFault;
import org.alderyard.common.error.Outcome;

/** A ticket that was not accepted, with each of its faults. */
public final class TicketException extends AlderyardException {
  private static final long serialVersionUID = 1L;

  private final transient List<FieldFault> faults;

  /** Creates the error of a ticket with faults. */
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
