package org.magnoliavale.internal.call;

import java.util.Optional;
import java.util.function.Consumer;

/** Runs steps of calls; an exception ends the call that it belongs to, and no other. */
final class CallSteps {
  private CallSteps() {}

  /** Handles an event of a call. */
  static void runContained(Call call, Consumer<Call> event) {
    try {
      event.accept(call);
    } catch (RuntimeException | Error e) {
      call.context()
          .metrics()
          .failures()
          .contain(
              "Call could not be ended.",
              () -> call.failedUnexpectedly(e, "step", Optional.empty()));
    }
  }
}
