/**
 * Whether this instance reaches endpoints, and the calls that go through a peer while it doesn't.
 */
package org.magnoliavale.internal.reach;
