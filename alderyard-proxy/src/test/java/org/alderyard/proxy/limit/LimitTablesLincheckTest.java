package org.alderyard.proxy.limit;

import java.util.List;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.view.PoolState;
import org.alderyard.common.view.WriteAcknowledgement;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Checks the linearizability of {@link PoolLimits} and {@link RetryBudget} by model checking. */
class LimitTablesLincheckTest {

  private static ModelCheckingOptions options() {
    return new ModelCheckingOptions()
        .threads(2)
        .actorsPerThread(3)
        .iterations(6)
        .invocationsPerIteration(200);
  }

  @Test
  void poolLimitIsLinearizable() {
    options().check(PoolCounter.class);
  }

  @Test
  void retryBudgetIsLinearizable() {
    options().check(Budget.class);
  }

  /** A pool that is limited to two concurrent statements. */
  public static class PoolCounter {
    private static final PoolState POOL =
        new PoolState(new PoolName("p"), List.of(), WriteAcknowledgement.MAJORITY, 0, 2);
    private final PoolLimits limits = new PoolLimits();

    /** Begins a statement. */
    @Operation
    public boolean enter() {
      return limits.tryAcquire(POOL);
    }

    /** Ends a statement. */
    @Operation
    public void leave() {
      limits.release(POOL.name());
    }
  }

  /** A budget of one resend for two first attempts. */
  public static class Budget {
    private final RetryBudget budget = new RetryBudget(0.5, 1);

    /** Records a first attempt. */
    @Operation
    public void recordFirstAttempt() {
      budget.recordFirstAttempt();
    }

    /** Removes a resend from the budget. */
    @Operation
    public boolean tryResend() {
      return budget.tryResend();
    }
  }
}
