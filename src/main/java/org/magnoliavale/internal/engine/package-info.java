/**
 * Client for the control interface of model engines: commands, reports, and their JSON form over
 * HTTP.
 *
 * <p>{@link org.magnoliavale.internal.engine.EngineClient} is the interface that the rest of the
 * program uses, {@link org.magnoliavale.internal.engine.HttpEngineClient} its implementation. The
 * package starts no threads; each call blocks its caller for a bounded time. It does not decide
 * which commands to send or whether to repeat them.
 */
package org.magnoliavale.internal.engine;
