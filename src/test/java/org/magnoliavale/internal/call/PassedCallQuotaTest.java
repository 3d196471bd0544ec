package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.magnoliavale.internal.tenant.Configurations.tenant;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.dispatch.GenerationRequest;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.Tenant;
import org.magnoliavale.internal.route.TenantTable;

/** Quotas and keys of calls that one instance passes to another. */
class PassedCallQuotaTest extends CallFixture {
  private static final String KEY = "key-of-a";
  private static final String PROOF = "other:id-1";

  private final ScriptedPeers peers = new ScriptedPeers();
  private final List<String> events = new ArrayList<>();

  @Override
  PeerCalls peers() {
    return peers;
  }

  @Override
  QuotaCheck quota() {
    return new QuotaCheck() {
      @Override
      public Decision take(Tenant tenant, Optional<GenerationRequest> generation, long nowNanos) {
        events.add("take " + tenant.id());
        return new Decision.Granted();
      }

      @Override
      public void giveBack(Tenant tenant, Optional<GenerationRequest> generation, long nowNanos) {
        events.add("give back " + tenant.id());
      }
    };
  }

  @Override
  RouteTable createTable() {
    RouteTable table = super.createTable();
    return RouteTable.of(
        1,
        List.of(table.match("menus.example", "/safe/x").orElseThrow()),
        table.services(),
        TenantTable.of(List.of(tenant("a", KEY))),
        table.maximumBodyBytes());
  }

  @Test
  void callsAreCountedWhereTheirCallersSentThem() {
    peers.cutOff(true);
    call("/safe/x", "X-Key", KEY);
    assertThat(endpoints()).containsExactly("peer-1");
    assertThat(events).containsExactly("take a");
  }

  @Test
  void callsAreNotCountedAgainAtThePeer() {
    call("/safe/x", "X-Key", KEY, PeerCalls.PROOF_HEADER, PROOF);
    assertThat(connector.sent()).hasSize(1);
    assertThat(events).isEmpty();
  }

  @Test
  void callsAreNotGivenBackByAPeerThatRejectsThem() {
    updateEndpoints();
    call("/safe/x", "X-Key", KEY, PeerCalls.PROOF_HEADER, PROOF);
    assertThat(caller.status()).isEqualTo(503);
    assertThat(events).isEmpty();
  }

  @Test
  void callsNeedAKeyAtThePeerToo() {
    call("/safe/x", "X-Key", "none", PeerCalls.PROOF_HEADER, PROOF);
    assertThat(caller.status()).isEqualTo(401);
  }
}
