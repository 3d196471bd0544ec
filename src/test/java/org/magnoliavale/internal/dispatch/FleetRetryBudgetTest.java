package org.magnoliavale.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class FleetRetryBudgetTest {
  private static final long WINDOW = TimeUnit.SECONDS.toNanos(10);
  private static final double RATIO = 0.2;
  private static final double RESERVE = 56;
  private static final int INSTANCES = 8;

  private int spendAll(FleetRetryBudget budget, long now) {
    int spent = 0;
    while (budget.trySpend(TestEntries.SERVICE, now)) {
      spent++;
    }
    return spent;
  }

  @Test
  void allInstancesTogetherStayWithinTheFleetsBudgetInEveryWindow() {
    int requestsEach = 40;
    int total = 0;
    for (int instance = 0; instance < INSTANCES; instance++) {
      FleetRetryBudget budget = new FleetRetryBudget(RATIO, RESERVE, WINDOW, () -> INSTANCES, 0);
      long now = 3 * WINDOW;
      for (int i = 0; i < requestsEach; i++) {
        budget.recordRequest(TestEntries.SERVICE, now);
      }
      total += spendAll(budget, now);
      total += spendAll(budget, now + WINDOW - 1);
    }
    assertThat(total).isPositive();
    assertThat((double) total).isLessThanOrEqualTo(RATIO * requestsEach * INSTANCES + RESERVE);
  }

  @Test
  void newInstanceSpendsLessBecauseItsPredecessorMayHaveSpent() {
    FleetRetryBudget budget = new FleetRetryBudget(RATIO, RESERVE, WINDOW, () -> INSTANCES, 0);
    int inFirstWindow = spendAll(budget, 1);
    int later = spendAll(budget, 3 * WINDOW);
    assertThat(inFirstWindow).isLessThan(later);
  }
}
