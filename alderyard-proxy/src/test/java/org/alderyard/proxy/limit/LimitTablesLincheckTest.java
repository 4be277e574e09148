package org.alderyard.proxy.limit;

import java.util.List;
import org.alderyard.common.id.PoolName;
import org.alderyard.common.view.PoolState;
import org.alderyard.common.view.WriteAcknowledgement;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** The shared counters of limits, under every interleaving that the model checker reaches. */
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

  /** A pool of two statements at once. */
  public static class PoolCounter {
    private static final PoolState POOL =
        new PoolState(new PoolName("p"), List.of(), WriteAcknowledgement.MAJORITY, 0, 2);
    private final PoolLimits limits = new PoolLimits();

    /** Begins a statement. */
    @Operation
    public boolean enter() {
      return limits.tryEnter(POOL);
    }

    /** Ends a statement. */
    @Operation
    public void leave() {
      limits.leave(POOL.name());
    }
  }

  /** A budget of one resend for two first tries. */
  public static class Budget {
    private final RetryBudget budget = new RetryBudget(0.5, 1);

    /** Counts a first try. */
    @Operation
    public void firstTry() {
      budget.firstTry();
    }

    /** Takes a resend. */
    @Operation
    public boolean tryResend() {
      return budget.tryResend();
    }
  }
}
