/** Puts the parts of an instance together, starts and stops them. */
package org.magnoliavale.internal.instance;
