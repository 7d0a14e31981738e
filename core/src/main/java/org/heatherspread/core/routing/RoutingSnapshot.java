package org.heatherspread.core.routing;

import java.util.Arrays;
import java.util.List;

/**
 * The endpoints of one service that may get new work, as one daemon believes at one moment.
 * Immutable; the views in it go on to change. Safe for use by any thread.
 */
public final class RoutingSnapshot {
  private static final RoutingSnapshot EMPTY = of(List.of());

  private final EndpointView[] endpoints;
  private final long[] seeds;
  private final int[] positions;
  private final double lowestPrice;

  private RoutingSnapshot(EndpointView[] endpoints) {
    this.endpoints = endpoints;
    this.seeds = new long[endpoints.length];
    int slots = 0;
    double lowest = Double.MAX_VALUE;
    for (int i = 0; i < endpoints.length; i++) {
      seeds[i] = RendezvousHash.seed(endpoints[i].profile().id());
      slots = Math.max(slots, endpoints[i].slot() + 1);
      lowest = Math.min(lowest, endpoints[i].profile().pricePerHour());
    }
    this.lowestPrice = lowest;
    this.positions = new int[slots];
    Arrays.fill(positions, -1);
    for (int i = 0; i < endpoints.length; i++) {
      positions[endpoints[i].slot()] = i;
    }
  }

  /** Creates a snapshot of endpoints with different slots. */
  public static RoutingSnapshot of(List<EndpointView> endpoints) {
    return new RoutingSnapshot(endpoints.toArray(EndpointView[]::new));
  }

  /** Returns the snapshot of a service without endpoints. */
  public static RoutingSnapshot empty() {
    return EMPTY;
  }

  /** Returns how many endpoints there are. */
  public int size() {
    return endpoints.length;
  }

  /** Returns an endpoint by position, from 0. */
  public EndpointView endpoint(int position) {
    return endpoints[position];
  }

  /** Returns the position of the endpoint that has a slot, or -1. */
  public int positionOfSlot(int slot) {
    return slot < positions.length ? positions[slot] : -1;
  }

  /** Returns the lowest price of an endpoint. */
  double lowestPrice() {
    return lowestPrice;
  }

  /** Returns the rendezvous score of an endpoint for a key; the highest is the key's home. */
  long rendezvousScore(int position, long key) {
    return RendezvousHash.score(seeds[position], key);
  }

  /** Returns how many endpoints are ejected. */
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
