/** An instance on a platform that lists endpoints and holds the configuration. */
package org.magnoliavale.internal.gateway;
