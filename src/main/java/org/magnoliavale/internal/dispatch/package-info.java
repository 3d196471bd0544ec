/** Chooses the endpoint of a call from what this instance knows of all endpoints. Does no I/O. */
package org.magnoliavale.internal.dispatch;
