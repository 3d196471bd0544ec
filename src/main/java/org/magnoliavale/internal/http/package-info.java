/** Shared set-up of HTTP servers and clients, JSON calls, and problem responses. */
package org.magnoliavale.internal.http;
