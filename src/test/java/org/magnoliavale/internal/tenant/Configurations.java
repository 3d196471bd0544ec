package org.magnoliavale.internal.tenant;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.identifier.TenantId;
import org.magnoliavale.internal.route.CallKind;
import org.magnoliavale.internal.route.Route;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.Tenant;
import org.magnoliavale.internal.route.TenantTable;
import org.magnoliavale.internal.route.WeightedService;

/** Configurations with tenants, for tests. */
public final class Configurations {
  private Configurations() {}

  /** Returns a tenant without a quota and a priority. */
  public static Tenant tenant(String name, String... keys) {
    return new Tenant(new TenantId(name), Set.of(keys), OptionalInt.empty(), Optional.empty());
  }

  /** Returns a configuration without routes. */
  public static RouteTable of(long version, Tenant... tenants) {
    TenantTable table = tenants.length == 0 ? TenantTable.none() : TenantTable.of(List.of(tenants));
    return RouteTable.of(version, List.of(), List.of(), table, 1_000);
  }

  /** Returns a route that needs a key, or an open one. */
  public static Route route(boolean open) {
    return new Route(
        "r",
        "menus.example",
        "/",
        CallKind.IDEMPOTENT,
        false,
        0,
        1,
        Duration.ofSeconds(10),
        Duration.ofSeconds(1),
        Duration.ZERO,
        open,
        List.of(new WeightedService(new ServiceId("s"), 1)));
  }
}
