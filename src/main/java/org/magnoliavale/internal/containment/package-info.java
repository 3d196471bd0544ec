/** Recognises requests that crash endpoints and stops them. */
package org.magnoliavale.internal.containment;
