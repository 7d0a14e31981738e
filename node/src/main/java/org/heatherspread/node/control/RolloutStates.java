package org.heatherspread.node.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.heatherspread.core.rollout.RolloutState;
import org.heatherspread.core.rollout.VersionGate;
import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.core.store.SharedRow;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes the states of moves, which are stored between the daemon reports, to the gate, and all
 * other rows to the listener of the reports. Confined to the event loop.
 *
 * @param next receives the other rows
 */
record RolloutStates(TableListener next, VersionGate gate) implements TableListener {
  private static final Logger log = LoggerFactory.getLogger(RolloutStates.class);

  @Override
  public void onFullRead(SharedReadResult result, boolean restored) {
    next.onFullRead(apply(result), restored);
  }

  @Override
  public void onChanges(SharedReadResult result) {
    next.onChanges(apply(result));
  }

  /** Applies the states; returns the result without them. */
  private SharedReadResult apply(SharedReadResult result) {
    List<SharedRow> others = new ArrayList<>();
    for (SharedRow row : result.rows()) {
      if (!RolloutFormat.isState(row.key())) {
        others.add(row);
      } else if (!row.deleted()) {
        applyState(row, result.ageMillis());
      }
    }
    gate.confirm(result.ageMillis());
    return new SharedReadResult(
        others, result.position(), result.storeMillis(), result.ageMillis());
  }

  private void applyState(SharedRow row, long ageMillis) {
    Optional<RolloutState> state = RolloutFormat.readRow(row.value());
    if (state.isEmpty()) {
      log.atWarn().addKeyValue("row", row.key()).log("rollout state not readable");
    } else if (gate.apply(state.get(), ageMillis)) {
      RolloutExchange.logState(state.get(), "store");
    }
  }

  @Override
  public void onFailure(String reason) {
    next.onFailure(reason);
  }
}
