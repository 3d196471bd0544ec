/** The port to model engines: orders, reports, and their HTTP form. */
package org.magnoliavale.internal.engine;
