package org.heatherspread.node.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.heatherspread.core.rollout.RolloutOrder;
import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.core.store.SharedRow;
import org.heatherspread.platform.RolloutOrderParser;

/**
 * The latest order for each service, from the operators' table. Every daemon keeps them, as any may
 * hold the duty lease next. Confined to the event loop.
 */
final class RolloutOrders implements TableListener {
  private final TableListener next;
  private final Map<String, RolloutOrder> byService = new HashMap<>();

  /**
   * Creates an instance without orders.
   *
   * @param next receives all rows, too
   */
  RolloutOrders(TableListener next) {
    this.next = next;
  }

  /** Returns the latest order for a service. */
  Optional<RolloutOrder> find(String service) {
    return Optional.ofNullable(byService.get(service));
  }

  /** Returns the services with orders. */
  Set<String> services() {
    return new TreeSet<>(byService.keySet());
  }

  @Override
  public void onFullRead(SharedReadResult result, boolean restored) {
    byService.clear();
    apply(result);
    next.onFullRead(result, restored);
  }

  @Override
  public void onChanges(SharedReadResult result) {
    apply(result);
    next.onChanges(result);
  }

  private void apply(SharedReadResult result) {
    long era = result.position().era();
    for (SharedRow row : result.rows()) {
      Optional<String> service = RolloutOrderParser.service(row.key());
      if (service.isPresent() && row.deleted()) {
        byService.remove(service.get());
      } else if (service.isPresent()) {
        byService.put(service.get(), RolloutOrderParser.parse(service.get(), row, era));
      }
    }
  }

  @Override
  public void onFailure(String reason) {
    next.onFailure(reason);
  }
}
