/** The load tool: open-loop load through a running deployment, checked and reported. */
package org.magnoliavale.internal.load;
