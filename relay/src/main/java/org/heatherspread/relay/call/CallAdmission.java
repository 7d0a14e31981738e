package org.heatherspread.relay.call;

import java.util.Optional;
import java.util.OptionalInt;
import org.heatherspread.core.admission.LoadShedder;
import org.heatherspread.core.placement.EndpointChooser.Choice;
import org.heatherspread.core.queue.QueuedRequest;

/**
 * Decides whether one request may be sent, may wait, or is too late to be sent, and records its
 * work. Invariant: the work of a request counts once. Confined to the event loop of its call.
 */
final class CallAdmission {
  private final RelayState state;
  private final CallContext context;
  private final CallProgress progress;
  private final EndpointSelection selection;
  private boolean demandRecorded;

  private CallAdmission(
      RelayState state, CallContext context, CallProgress progress, EndpointSelection selection) {
    this.state = state;
    this.context = context;
    this.progress = progress;
    this.selection = selection;
  }

  static CallAdmission create(
      RelayState state, CallContext context, CallProgress progress, EndpointSelection selection) {
    return new CallAdmission(state, context, progress, selection);
  }

  /** Adds the work of the request to the demand of its service, once and even if it is refused. */
  void recordDemand(Optional<Choice> choice) {
    if (demandRecorded || !isEngineRequest()) {
      return;
    }
    demandRecorded = true;
    state.addWork(context.service(), selection.workMillis(choice));
  }

  private boolean isEngineRequest() {
    return context.work().promptTokens() > 0;
  }

  /** Returns whether the request may wait here; one that an endpoint may have run goes on. */
  boolean mayWait() {
    return state.waitingCalls().isEnabled()
        && !progress.streamStarted
        && progress.possibleExecutions == 0;
  }

  /** Returns whether a request that does not wait may be sent. */
  boolean admits(Choice choice) {
    boolean isFirstAttempt = progress.sendCount == 0 && progress.refusalCount == 0;
    if (!isFirstAttempt || !isEngineRequest()) {
      return true;
    }
    OptionalInt urgentTargetMillis =
        state.shortestUrgentTargetMillis(context.service(), context.urgency());
    return LoadShedder.admits(
        choice.expectedMillis(),
        context.route().targetMillis(),
        context.urgency(),
        urgentTargetMillis);
  }

  /** Returns what the queue has to know of the request. */
  QueuedRequest queuedRequest(Choice choice) {
    return QueuedRequest.create(
        context.urgency(),
        context.account(),
        selection.workMillis(Optional.of(choice)),
        context.request().receivedAtMillis(),
        context.route().targetMillis(),
        context.deadlineMillis(),
        choice.ownMillis());
  }
}
