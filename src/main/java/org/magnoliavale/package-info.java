/** The public surface: one façade, its builder, errors and findings. */
package org.magnoliavale;
