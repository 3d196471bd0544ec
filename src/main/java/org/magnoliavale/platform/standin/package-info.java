/**
 * Stand-ins for the users' platform: its store, its workers, and a small deployment of both.
 *
 * <p>They speak the same protocol as the adapters in {@link org.magnoliavale.platform} and inject
 * no faults. {@code bin/measure-start} and the build's training run use them.
 */
package org.magnoliavale.platform.standin;
