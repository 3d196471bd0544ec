/** Set-up and format of the log. */
package org.magnoliavale.internal.logging;
