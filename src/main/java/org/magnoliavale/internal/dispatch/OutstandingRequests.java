package org.magnoliavale.internal.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The requests of this instance that are in progress at one endpoint, and the work and memory that
 * they take there, in tokens. Not thread-safe.
 */
final class OutstandingRequests {
  /**
   * Time for which ended requests are kept, to tell what was in progress when a report was made.
   */
  private static final long MEMORY_OF_ENDED_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final int MAXIMUM_ENDED = 256;

  private record Ended(long sentNanos, long endedNanos) {}

  private record SharedUse(int tokens, int requests) {}

  private final Set<SentRequest> requests = new LinkedHashSet<>();
  private final Map<Long, SharedUse> sharedParts = new HashMap<>();
  private final Deque<Ended> ended = new ArrayDeque<>();
  private long unreadTokens;
  private int unreadRequests;
  private long privateTokens;
  private long sharedTokens;

  void add(SentRequest request) {
    requests.add(request);
    unreadTokens += request.uncachedTokens();
    unreadRequests++;
    privateTokens += request.privateTokens();
    for (SentRequest.SharedPart part : request.sharedParts()) {
      SharedUse use = sharedParts.get(part.hash());
      if (use == null) {
        sharedTokens += part.tokens();
      }
      sharedParts.put(
          part.hash(), new SharedUse(part.tokens(), use == null ? 1 : use.requests() + 1));
    }
  }

  /** Records that the first event of a request is coming, so that its prompt has been read. */
  void promptRead(SentRequest request) {
    unreadTokens -= request.uncachedTokens();
    unreadRequests--;
  }

  void remove(SentRequest request, long nowNanos) {
    if (!requests.remove(request)) {
      return;
    }
    if (!request.hasBegun()) {
      promptRead(request);
    }
    privateTokens -= request.privateTokens();
    request.sharedParts().forEach(this::releaseShared);
    ended.addLast(new Ended(request.sentNanos(), nowNanos));
    while (ended.size() > MAXIMUM_ENDED
        || !ended.isEmpty() && nowNanos - ended.getFirst().endedNanos() > MEMORY_OF_ENDED_NANOS) {
      ended.removeFirst();
    }
  }

  private void releaseShared(SentRequest.SharedPart part) {
    SharedUse use = sharedParts.get(part.hash());
    if (use.requests() > 1) {
      sharedParts.put(part.hash(), new SharedUse(use.tokens(), use.requests() - 1));
    } else {
      sharedParts.remove(part.hash());
      sharedTokens -= use.tokens();
    }
  }

  /** Returns the request that was sent first. */
  Optional<SentRequest> oldest() {
    return requests.stream().findFirst();
  }

  int size() {
    return requests.size();
  }

  /** Returns the number of requests that were in progress at an earlier time. */
  int sizeAt(long nanos) {
    long still = requests.stream().filter(request -> request.sentNanos() - nanos <= 0).count();
    long sinceEnded =
        ended.stream()
            .filter(request -> request.sentNanos() - nanos <= 0 && request.endedNanos() - nanos > 0)
            .count();
    return (int) (still + sinceEnded);
  }

  /** Returns the number of requests in progress that were sent after a time. */
  int sentAfter(long nanos) {
    return (int) requests.stream().filter(request -> request.sentNanos() - nanos > 0).count();
  }

  /** Returns the number of requests whose prompt has not been read. */
  int unreadRequests() {
    return unreadRequests;
  }

  /** Returns the prompt tokens that are still to be read. */
  long unreadTokens() {
    return unreadTokens;
  }

  /** Returns the memory of all requests in tokens; what they share counts once. */
  long memoryTokens() {
    return privateTokens + sharedTokens;
  }

  /** Returns the memory that a further request would take, in tokens. */
  long additionalTokens(GenerationRequest generation) {
    List<SentRequest.SharedPart> shared = SentRequest.sharedParts(generation);
    long added =
        shared.stream()
            .filter(part -> !sharedParts.containsKey(part.hash()))
            .mapToLong(SentRequest.SharedPart::tokens)
            .sum();
    return SentRequest.privateTokens(generation) + added;
  }
}
