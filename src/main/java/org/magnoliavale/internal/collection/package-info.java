/** Small collections that several parts share. */
package org.magnoliavale.internal.collection;
