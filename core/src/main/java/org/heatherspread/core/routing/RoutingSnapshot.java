package org.heatherspread.core.routing;

import java.util.Arrays;
import java.util.List;

/**
 * The endpoints of one service that may receive new requests, as known to one daemon at one time.
 * The snapshot is immutable, but the views in it continue to change. Thread-safe.
 */
public final class RoutingSnapshot {
  private static final RoutingSnapshot EMPTY = of(List.of());

  private final EndpointView[] endpoints;
  private final long[] rendezvousSeeds;
  private final int[] positions;
  private final double lowestPrice;

  private RoutingSnapshot(EndpointView[] endpoints) {
    this.endpoints = endpoints;
    this.rendezvousSeeds = new long[endpoints.length];
    int slotCount = 0;
    double minPrice = Double.MAX_VALUE;
    for (int i = 0; i < endpoints.length; i++) {
      rendezvousSeeds[i] = RendezvousHash.seed(endpoints[i].profile().id());
      slotCount = Math.max(slotCount, endpoints[i].slot() + 1);
      minPrice = Math.min(minPrice, endpoints[i].profile().pricePerHour());
    }
    this.lowestPrice = minPrice;
    this.positions = new int[slotCount];
    Arrays.fill(positions, -1);
    for (int i = 0; i < endpoints.length; i++) {
      positions[endpoints[i].slot()] = i;
    }
  }

  /** Creates a snapshot of endpoints with distinct slots. */
  public static RoutingSnapshot of(List<EndpointView> endpoints) {
    return new RoutingSnapshot(endpoints.toArray(EndpointView[]::new));
  }

  /** Returns the snapshot of a service without endpoints. */
  public static RoutingSnapshot empty() {
    return EMPTY;
  }

  /** Returns the number of endpoints. */
  public int size() {
    return endpoints.length;
  }

  /** Returns the endpoint at a position, from 0. */
  public EndpointView endpoint(int position) {
    return endpoints[position];
  }

  /** Returns the position of the endpoint in a slot, or -1. */
  public int positionOfSlot(int slot) {
    return slot < positions.length ? positions[slot] : -1;
  }

  /** Returns the lowest price per hour of an endpoint. */
  double lowestPrice() {
    return lowestPrice;
  }

  /**
   * Returns the rendezvous score of an endpoint for a key; the highest marks the preferred
   * endpoint.
   */
  long rendezvousScore(int position, long key) {
    return RendezvousHash.score(rendezvousSeeds[position], key);
  }

  /** Returns the number of ejected endpoints. */
  public int ejectedCount() {
    int count = 0;
    for (EndpointView endpoint : endpoints) {
      if (endpoint.health().isEjected()) {
        count++;
      }
    }
    return count;
  }
}
