package org.magnoliavale.internal.call;

import java.util.List;
import org.magnoliavale.internal.queue.QueueId;

/**
 * Queues whose first calls are to be sent after an event.
 *
 * @param queues queues that the same endpoints can serve
 * @param limit number of calls that may be sent
 */
record QueueTurn(List<QueueId> queues, int limit) {}
