package org.magnoliavale.internal.residency;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.dispatch.Artifact;

/**
 * The models that no endpoint holds and that requests wait for, by what their loads wait for.
 *
 * @param models number of such models
 * @param requests number of requests that wait for them
 * @param underWay models that are being loaded, or that room is being made for
 * @param withoutCopy models whose weights are on no endpoint
 * @param withBusyEndpoints models whose weights are only on endpoints that accept no command now
 * @param busyEndpoints usable endpoints that accept no command now
 * @param endpoints usable endpoints
 */
record WaitingModels(
    int models,
    int requests,
    int underWay,
    int withoutCopy,
    int withBusyEndpoints,
    int busyEndpoints,
    int endpoints) {
  /** Returns the state of the models that requests wait for. */
  static WaitingModels of(List<EndpointView> views, Map<Artifact, ArtifactUse> uses) {
    List<EndpointView> usable = views.stream().filter(EndpointView::isUsable).toList();
    Map<Artifact, ArtifactUse> waiting = ReplicaValue.sumByModel(uses);
    waiting.values().removeIf(use -> use.waiting() == 0);
    waiting.keySet().removeIf(model -> usable.stream().anyMatch(view -> view.isReady(model)));
    Set<Artifact> expected = EndpointView.countReplicas(views).keySet();
    int underWay = 0;
    int withoutCopy = 0;
    int withBusyEndpoints = 0;
    for (Artifact model : waiting.keySet()) {
      List<EndpointView> copies = usable.stream().filter(view -> view.hasLocalCopy(model)).toList();
      if (expected.contains(model)) {
        underWay++;
      } else if (copies.isEmpty()) {
        withoutCopy++;
      } else if (copies.stream().allMatch(EndpointView::busy)) {
        withBusyEndpoints++;
      }
    }
    return new WaitingModels(
        waiting.size(),
        waiting.values().stream().mapToInt(ArtifactUse::waiting).sum(),
        underWay,
        withoutCopy,
        withBusyEndpoints,
        (int) usable.stream().filter(EndpointView::busy).count(),
        usable.size());
  }
}
