/** Value types for names. */
package org.magnoliavale.internal.identifier;
