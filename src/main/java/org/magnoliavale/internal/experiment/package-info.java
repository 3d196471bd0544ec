/** Experiments that compare policies on models of the deployments, with fixed seeds. */
package org.magnoliavale.internal.experiment;
