/** What an operator allows: routes, services, and the engines behind them. */
package org.magnoliavale.internal.route;
