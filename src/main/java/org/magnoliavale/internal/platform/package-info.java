/** The port to the platform's table and instance list, and its HTTP form. */
package org.magnoliavale.internal.platform;
