/** The port for operators. */
package org.magnoliavale.internal.operator;
