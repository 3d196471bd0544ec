package org.magnoliavale.internal.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.IntSupplier;
import org.magnoliavale.internal.dispatch.FleetRetryBudget;
import org.magnoliavale.internal.platform.ListedInstance;
import org.magnoliavale.internal.quota.QuotaBounds;
import org.magnoliavale.internal.settings.PeerSettings;
import org.magnoliavale.internal.tenant.TenantSettings;

/**
 * Settings of an instance on a platform that provides the endpoint list and the configuration.
 *
 * @param instanceId id of this instance
 * @param dataCentre data centre that the instance runs in
 * @param processorPercent processor time that the instance may use, in percent of a core; 0 if it
 *     is not stated
 * @param callerAddress listen address for callers
 * @param readinessAddress listen address for the load balancer's readiness checks
 * @param metricsAddress listen address for metrics
 * @param peers settings of the links between instances
 * @param storeAddress address of the platform's store
 * @param leaseDuration duration of the command lease
 * @param gracePeriod time from the stop signal until the process is killed
 * @param retryRatio retries per request that the fleet may send
 * @param retryReserve retries that the fleet may send in a window regardless of requests
 * @param retryWindow window in which requests and retries are counted
 * @param loadLimitWindow window in which the weight store's load limit applies
 * @param tenants settings of the check of callers' keys
 * @param quotaBounds how exactly the quotas of tenants must be kept
 * @param logLevel least severe log level that is written
 */
public record GatewaySettings(
    String instanceId,
    String dataCentre,
    int processorPercent,
    InetSocketAddress callerAddress,
    InetSocketAddress readinessAddress,
    InetSocketAddress metricsAddress,
    PeerSettings peers,
    InetSocketAddress storeAddress,
    Duration leaseDuration,
    Duration gracePeriod,
    double retryRatio,
    double retryReserve,
    Duration retryWindow,
    Duration loadLimitWindow,
    TenantSettings tenants,
    QuotaBounds quotaBounds,
    String logLevel) {
  /** Returns settings that state nothing of callers' keys. */
  public GatewaySettings(
      String instanceId,
      String dataCentre,
      InetSocketAddress callerAddress,
      InetSocketAddress readinessAddress,
      InetSocketAddress metricsAddress,
      PeerSettings peers,
      InetSocketAddress storeAddress,
      Duration leaseDuration,
      Duration gracePeriod,
      double retryRatio,
      double retryReserve,
      Duration retryWindow,
      Duration loadLimitWindow,
      String logLevel) {
    this(
        instanceId,
        dataCentre,
        0,
        callerAddress,
        readinessAddress,
        metricsAddress,
        peers,
        storeAddress,
        leaseDuration,
        gracePeriod,
        retryRatio,
        retryReserve,
        retryWindow,
        loadLimitWindow,
        TenantSettings.none(),
        QuotaBounds.ofDefaults(),
        logLevel);
  }

  /** Returns this instance's entry in the instance list; other instances link to the address. */
  ListedInstance listed(String peerAddress) {
    return ListedInstance.live(instanceId, peerAddress, dataCentre, processorPercent);
  }

  /** Returns a retry budget with these limits; {@code instances} counts the live instances. */
  FleetRetryBudget createRetryBudget(IntSupplier instances, long nowNanos) {
    return new FleetRetryBudget(
        retryRatio, retryReserve, retryWindow.toNanos(), instances, nowNanos);
  }
}
