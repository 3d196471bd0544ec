package org.magnoliavale.internal.call;

import java.util.Random;

/**
 * An endpoint's side of an attempt, with a random behaviour: it answers, streams, refuses, fails or
 * hangs.
 */
final class SimulatedAttempt {
  static final int EVENTS = 6;

  private static final String BODY = "whole";
  private static final int LONGEST_START_MS = 700;

  private enum Plan {
    ANSWER,
    REFUSE,
    REFUSE_WITH_PAUSE,
    MISDIRECT,
    FAIL_BEFORE_SEND,
    FAIL_AFTER_SEND,
    SERVER_ERROR,
    BREAK_OFF,
    HANG;

    boolean isRun() {
      return switch (this) {
        case REFUSE, REFUSE_WITH_PAUSE, MISDIRECT, FAIL_BEFORE_SEND -> false;
        case ANSWER, FAIL_AFTER_SEND, SERVER_ERROR, BREAK_OFF, HANG -> true;
      };
    }
  }

  private final ScriptedConnector.Sent sent;
  private final Random random;
  private final Plan plan;
  private final boolean stream;
  private int waitMs;
  private int nextEvent;
  private boolean begun;
  private boolean demanded = true;
  private boolean ended;

  SimulatedAttempt(ScriptedConnector.Sent sent, Random random) {
    this.sent = sent;
    this.random = random;
    String path = sent.request().pathQuery();
    this.stream = path.startsWith("/stream/") || path.startsWith("/once/");
    this.plan = random.nextBoolean() ? Plan.ANSWER : Plan.values()[random.nextInt(9)];
    this.waitMs = random.nextInt(LONGEST_START_MS);
    String resumedAfter = sent.request().headers().get("Last-Event-Id");
    this.nextEvent = resumedAfter == null ? 1 : Integer.parseInt(resumedAfter) + 1;
  }

  static String wholeAnswer(String pathQuery) {
    return BODY + " " + pathQuery;
  }

  static String event(int number) {
    return "id: " + number + "\ndata: piece " + number + "\n\n";
  }

  ScriptedConnector.Sent sent() {
    return sent;
  }

  /** Returns whether the endpoint runs the request, or may have run it. */
  boolean isRun() {
    return plan.isRun();
  }

  /** Returns whether the endpoint is at work and would go on. */
  boolean isOpen() {
    return !ended && !sent.isCancelled();
  }

  /** Returns whether the endpoint has begun to answer. */
  boolean hasBegun() {
    return begun;
  }

  /** Returns whether the endpoint has lost the connection as in a crash. */
  boolean hasCrashed() {
    return ended && (plan == Plan.FAIL_AFTER_SEND || plan == Plan.BREAK_OFF);
  }

  /** Is silent for a time, and then goes on. */
  void pause(int milliseconds) {
    waitMs += milliseconds;
  }

  /** Lets time pass; returns whether the endpoint sent anything. */
  boolean step(int milliseconds) {
    waitMs -= milliseconds;
    boolean acts = isOpen() && demanded && waitMs <= 0 && plan != Plan.HANG;
    if (acts) {
      act();
    }
    return acts;
  }

  private void act() {
    switch (plan) {
      case HANG -> {}
      case ANSWER, BREAK_OFF -> answer();
      case REFUSE -> end(() -> sent.respondNotExecuted(503));
      case REFUSE_WITH_PAUSE -> end(() -> sent.respondNotExecuted(503, "Retry-After"));
      case MISDIRECT -> end(() -> sent.respondNotExecuted(421));
      case FAIL_BEFORE_SEND -> end(sent::failBeforeSend);
      case FAIL_AFTER_SEND -> end(sent::failAfterSend);
      case SERVER_ERROR -> end(() -> sent.respond(500, "error\n\n"));
    }
  }

  private void answer() {
    if (!begun) {
      begun = true;
      sent.beginChunked();
    } else if (!stream) {
      sent.content(wholeAnswer(sent.request().pathQuery()));
      endAnswer();
    } else if (nextEvent <= EVENTS && !(plan == Plan.BREAK_OFF && nextEvent > EVENTS / 2)) {
      demanded = false;
      sent.content(event(nextEvent), () -> demanded = true);
      nextEvent++;
    } else {
      endAnswer();
    }
    waitMs = random.nextInt(150);
  }

  private void endAnswer() {
    end(plan == Plan.BREAK_OFF ? sent::failAfterSend : sent.listener()::onCompleted);
  }

  private void end(Runnable last) {
    if (isOpen()) {
      ended = true;
      last.run();
    }
  }
}
