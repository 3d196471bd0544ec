package org.magnoliavale.internal.control;

import java.time.InstantSource;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jboss.logging.Logger;
import org.magnoliavale.Service;
import org.magnoliavale.internal.engine.CommandResult;
import org.magnoliavale.internal.engine.EngineClient;
import org.magnoliavale.internal.identifier.PoolId;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.platform.TableCall;
import org.magnoliavale.internal.routing.ResidencyView;

/**
 * Runs {@link ControlCore} on a thread of its own. Events are queued by {@link #post}, from any
 * thread, and handled one at a time; without events, a tick is handled every 50 ms. Table calls and
 * commands run on virtual threads, and their outcomes are posted as events; residency views are
 * published and log lines written on the control thread.
 *
 * <p>{@link #start} starts the thread. {@link #stop} asks the core to hand over its leases and
 * waits for that for a limited time before the thread ends. An exception while an event is handled
 * is logged, and the loop goes on with the next event.
 */
public final class ControlLoop implements Service {
  private static final long TICK_MS = 50;
  private static final long STOP_TIMEOUT_MS = 3_000;
  private static final long QUERY_TIMEOUT_MS = 2_000;

  private sealed interface Item {
    record Event(ControlEvent event) implements Item {}

    record Query(Runnable task) implements Item {}
  }

  private final ControlCore core;
  private final Table table;
  private final EngineClient engines;
  private final InstantSource clock;
  private final Consumer<ResidencyView> publisher;
  private final BlockingQueue<Item> queue = new LinkedBlockingQueue<>();
  private final Thread thread;
  private volatile boolean running;

  /** Returns a loop that is not started; {@code publisher} is called with each residency view. */
  public ControlLoop(
      ControlCore core,
      Table table,
      EngineClient engines,
      InstantSource clock,
      Consumer<ResidencyView> publisher) {
    this.core = core;
    this.table = table;
    this.engines = engines;
    this.clock = clock;
    this.publisher = publisher;
    this.thread = Thread.ofPlatform().name("control").unstarted(this::run);
  }

  @Override
  public void start() {
    running = true;
    thread.start();
  }

  @Override
  public void stop() {
    post(new ControlEvent.StopRequested());
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STOP_TIMEOUT_MS);
    while (!allLeasesReleased() && System.nanoTime() < end) {
      sleepOneTick();
    }
    running = false;
    try {
      thread.join(STOP_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Queues an event for the control thread. */
  public void post(ControlEvent event) {
    queue.add(new Item.Event(event));
  }

  /**
   * Evaluates a function of the control state on the control thread and returns its result.
   *
   * @throws IllegalStateException if there is no result within 2 s, or the caller is interrupted
   */
  public <T> T query(Function<ControlCore, T> function) {
    CompletableFuture<T> result = new CompletableFuture<>();
    queue.add(new Item.Query(() -> result.complete(function.apply(core))));
    try {
      return result.get(QUERY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for the control thread", e);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("the control thread did not answer in time", e);
    }
  }

  /** Returns the number of events and queries that are queued. */
  public int backlog() {
    return queue.size();
  }

  private boolean allLeasesReleased() {
    return query(state -> state.heldPools(clock.millis())).isEmpty();
  }

  private static void sleepOneTick() {
    try {
      Thread.sleep(TICK_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    long nextTick = clock.millis();
    while (running) {
      try {
        long wait = Math.max(0, nextTick - clock.millis());
        Item item = queue.poll(wait, TimeUnit.MILLISECONDS);
        switch (item) {
          case null -> {
            nextTick = clock.millis() + TICK_MS;
            handle(new ControlEvent.Tick());
          }
          case Item.Event(ControlEvent event) -> handle(event);
          case Item.Query(Runnable task) -> task.run();
        }
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        Logs.of("control").error("Handling a control event failed.", e);
      }
    }
  }

  private void handle(ControlEvent event) {
    core.handle(event, clock.millis()).forEach(this::perform);
  }

  private void perform(ControlAction action) {
    switch (action) {
      case ControlAction.CallTable(PoolId pool, var kind, TableCall call) ->
          Thread.startVirtualThread(
              () -> post(new ControlEvent.TableCallCompleted(pool, kind, call.execute(table))));
      case ControlAction.SendCommand command -> Thread.startVirtualThread(() -> send(command));
      case ControlAction.Publish(ResidencyView view) -> publisher.accept(view);
      case ControlAction.Log(String part, String line) -> logger(part).info(line);
    }
  }

  private void send(ControlAction.SendCommand action) {
    // The process may have been paused since the command was recorded, so the clock is read again.
    boolean deadlinePassed = clock.millis() >= action.command().notAfterMs();
    CommandResult result =
        deadlinePassed
            ? new CommandResult.NotSent("send deadline passed")
            : engines.send(action.endpoint(), action.command());
    post(
        new ControlEvent.CommandCompleted(
            action.pool(), action.endpoint().id(), action.command().transmission(), result));
  }

  private static Logger logger(String part) {
    return Logs.of(part);
  }
}
