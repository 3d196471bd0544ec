/**
 * Assembly and life cycle of an instance.
 *
 * <p>{@link org.magnoliavale.internal.instance.Instance} creates and connects all parts of an
 * instance and controls start, drain and stop; {@link
 * org.magnoliavale.internal.instance.InstanceOptions} holds its options. {@link
 * org.magnoliavale.internal.instance.InstanceStatus} and {@link
 * org.magnoliavale.internal.instance.PlacementStatus} are the status responses of the operator API.
 *
 * <p>One virtual thread measures demand once a second; all other threads belong to the parts.
 */
package org.magnoliavale.internal.instance;
