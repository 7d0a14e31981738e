package org.heatherspread.relay.call;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.placement.EndpointChooser;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.queue.DispatchPacer;
import org.heatherspread.core.queue.QueuedRequest;
import org.heatherspread.core.queue.RequestQueue;
import org.heatherspread.core.queue.RequestQueue.Dispatch;
import org.heatherspread.core.queue.RequestQueue.Rejection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The calls of one service that wait, and their dispatch when a request of this daemon ends, when
 * loads of other daemons have changed, or after a time.
 *
 * <p>Invariant: while a call waits, a check is scheduled. Confined to the event loop.
 */
final class ServiceQueue {
  private static final Logger log = LoggerFactory.getLogger(ServiceQueue.class);

  /** Interval of the checks for room and for requests that cannot wait any longer. */
  private static final long CHECK_INTERVAL_MILLIS = 20;

  /** Time without a rejection after which the queue is said to have stopped rejecting. */
  private static final long REJECTION_PAUSE_MILLIS = 1_000;

  /** Requests of all daemons that an endpoint with room is expected to take at once. */
  private static final int MAX_FREE_REQUESTS = 2;

  private final RelayState state;
  private final String service;
  private final RequestQueue<RelayCall> queue;
  private final DispatchPacer pacer;
  private final QueueMetrics metrics;
  private boolean checkScheduled;
  private boolean drainScheduled;
  private boolean draining;
  private long lastRejectionMillis;
  private long rejectionCount;

  private ServiceQueue(RelayState state, String service, QueueMetrics metrics) {
    this.state = state;
    this.service = service;
    this.metrics = metrics;
    this.queue = RequestQueue.create(state.clock());
    this.pacer = DispatchPacer.create(state.clock());
  }

  static ServiceQueue create(RelayState state, String service) {
    QueueMetrics metrics = QueueMetrics.create(state.metrics().registry(), service);
    return new ServiceQueue(state, service, metrics);
  }

  int size() {
    return queue.size();
  }

  /** Queues or rejects a call, and dispatches what can be dispatched. */
  void offer(RelayCall call, QueuedRequest request) {
    updateCapacity();
    RequestQueue.Offer<RelayCall> offer = queue.offer(call, request);
    call.progress().queuePosition = offer.position();
    offer.rejections().forEach(this::reject);
    scheduleCheck();
    drain();
  }

  /** Removes a call that has ended, if it waits. */
  void remove(RelayCall call) {
    if (queue.remove(call)) {
      metrics.update(queue);
    }
  }

  /** Records that a request of this daemon no longer occupies an endpoint. */
  void recordEnd() {
    pacer.recordEnd();
  }

  /** Dispatches what can be dispatched, after the event that is being handled. */
  void scheduleDrain() {
    if (!queue.isEmpty() && !drainScheduled) {
      drainScheduled = true;
      state.loop().execute(this::runDrain);
    }
  }

  private void runDrain() {
    drainScheduled = false;
    drain();
  }

  private void scheduleCheck() {
    boolean needed = !queue.isEmpty() || rejectionCount > 0;
    if (needed && !checkScheduled) {
      checkScheduled = true;
      state.loop().schedule(this::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void check() {
    checkScheduled = false;
    updateCapacity();
    drain();
    queue.expire().forEach(this::reject);
    metrics.update(queue);
    long now = state.clock().millis();
    if (rejectionCount > 0 && now - lastRejectionMillis >= REJECTION_PAUSE_MILLIS) {
      log.atInfo()
          .addKeyValue("service", service)
          .addKeyValue("rejections", rejectionCount)
          .log("queue no longer rejects requests");
      rejectionCount = 0;
    }
    scheduleCheck();
  }

  private void drain() {
    if (draining) {
      return;
    }
    draining = true;
    try {
      while (pacer.mayDispatch()) {
        Optional<Dispatch<RelayCall>> next = queue.poll((call, late) -> call.canDispatch(late));
        if (next.isEmpty()) {
          break;
        }
        pacer.recordDispatch();
        metrics.recordWait(next.get().waitedMillis());
        next.get().item().dispatch(next.get().waitedMillis());
      }
    } finally {
      draining = false;
      metrics.update(queue);
    }
  }

  private void reject(Rejection<RelayCall> rejection) {
    metrics.recordRejection(rejection.cause());
    lastRejectionMillis = state.clock().millis();
    rejectionCount++;
    if (rejectionCount == 1) {
      log.atInfo()
          .addKeyValue("service", service)
          .addKeyValue("cause", rejection.cause().code())
          .addKeyValue("wait_ms", (long) rejection.waitMillis())
          .addKeyValue("length", queue.size())
          .addKeyValue("work_ms", (long) queue.workMillis())
          .log("queue rejects requests");
    }
    rejection.item().onQueueRejection(rejection.waitMillis(), rejection.retryMillis());
  }

  /** Passes what is known of the endpoints to the queue and its pace. */
  private void updateCapacity() {
    List<TrackedEndpoint> endpoints = state.endpoints().forService(service);
    EndpointChooser chooser = state.chooser(service);
    double maxWait = state.waitingCalls().maxEndpointWaitMillis(service);
    long now = state.clock().millis();
    int usable = 0;
    int free = 0;
    double blocked = Double.MAX_VALUE;
    for (TrackedEndpoint endpoint : endpoints) {
      if (!endpoint.acceptsRequests(now)) {
        continue;
      }
      usable++;
      if (WaitingCalls.hasRoom(endpoint, chooser, maxWait, now)) {
        int freeSlots = endpoint.registration().slots() - endpoint.load().running();
        free += Math.min(MAX_FREE_REQUESTS, freeSlots);
        blocked = 0;
        continue;
      }
      double wait = chooser.waitMillis(endpoint, now);
      blocked = Math.min(blocked, Math.max(0, wait - maxWait));
    }
    int daemons = state.daemonCount();
    queue.updateCapacity((double) usable / daemons, usable == 0 ? 0 : blocked);
    pacer.update(free, daemons);
  }
}
