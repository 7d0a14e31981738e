package org.heatherspread.daemon.chat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.util.ByteString;
import org.heatherspread.core.config.AccountSpec;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.record.CallState;
import org.heatherspread.core.retry.RetryBudget;
import org.heatherspread.daemon.DaemonContext;
import org.heatherspread.daemon.engine.EngineClient;
import org.heatherspread.daemon.http.BodyReader;
import org.heatherspread.daemon.limit.Admission;
import org.heatherspread.daemon.limit.AdmissionRequest;
import org.heatherspread.daemon.record.RecordHandle;
import org.heatherspread.daemon.record.RecordOutcome;
import org.heatherspread.daemon.record.RecordProgress;
import org.heatherspread.daemon.record.RequestDescriptor;
import org.heatherspread.daemon.record.RequestRecord;
import org.heatherspread.daemon.record.RequestRecords;
import org.heatherspread.daemon.record.TakeoverResult;
import org.heatherspread.daemon.routing.EndpointSelector;

/**
 * Accepts, resumes, cancels and hands over the model service requests of this daemon.
 *
 * <p>Thread-safe.
 */
final class ChatService {
  private static final Duration BODY_READ_TIMEOUT = Duration.ofSeconds(10);
  private static final long HAND_OVER_TIMEOUT_MILLIS = 500;

  private final DaemonContext context;
  private final ChatSettings settings;
  private final EngineClient engineClient;
  private final EndpointSelector selector;
  private final Admission admission;
  private final RequestRecords records;
  private final ChatMetrics metrics;
  private final ChatCallParser parser;
  private final BodyReader bodyReader;
  private final Map<String, ChatSession> sessions = new ConcurrentHashMap<>();
  private final Map<String, RetryBudget> retryBudgets = new ConcurrentHashMap<>();
  private final DetachedSessions detachedSessions;
  private volatile boolean draining;

  private ChatService(
      DaemonContext context,
      ChatSettings settings,
      EngineClient engineClient,
      EndpointSelector selector,
      Admission admission,
      RequestRecords records) {
    this.context = context;
    this.settings = settings;
    this.engineClient = engineClient;
    this.selector = selector;
    this.admission = admission;
    this.records = records;
    this.metrics = ChatMetrics.create(context.meters());
    this.parser = ChatCallParser.create(settings);
    this.bodyReader = BodyReader.create(context.system(), BODY_READ_TIMEOUT);
    this.detachedSessions = new DetachedSessions(context.clock(), settings.resumeWindow());
    context.meters().gaugeMapSize("heatherspread.requests.open", List.of(), sessions);
  }

  static ChatService create(
      DaemonContext context,
      ChatSettings settings,
      EngineClient engineClient,
      EndpointSelector selector,
      Admission admission,
      RequestRecords records) {
    return new ChatService(context, settings, engineClient, selector, admission, records);
  }

  /** Accepts a chat completion request and returns its response. */
  CompletionStage<HttpResponse> chat(HttpRequest request, AccountSpec account) {
    if (draining) {
      throw ServingException.of(
          ErrorKind.DAEMON_LEAVING, "this daemon is leaving; ask for addresses again");
    }
    return bodyReader
        .read(request)
        .thenCompose(
            data -> {
              byte[] body = data.toArrayUnsafe();
              return accept(
                  parser.parse(request, body, account, context.configuration().get()), account);
            });
  }

  private CompletionStage<HttpResponse> accept(ChatCall call, AccountSpec account) {
    Admission.Grant grant =
        admission.admit(
            new AdmissionRequest(
                account,
                call.service(),
                call.promptTokens(),
                call.maxTokens(),
                call.priority(),
                call.remaining()));
    Instant deadline = context.wallClock().instant().plus(call.remaining());
    RequestDescriptor draft =
        new RequestDescriptor(
            account.name(), call.service(), call.version(), call.body(), true, deadline);
    return records
        .open(draft)
        .whenComplete(
            (handle, failure) -> {
              if (failure != null) {
                grant.release(0);
              }
            })
        .thenCompose(
            handle ->
                serve(
                    new SessionStart(
                        account.name(), call, handle, grant, RecordProgress.none(), 0)));
  }

  private CompletionStage<HttpResponse> serve(SessionStart start) {
    RetryBudget retryBudget = retryBudget(start.call().service());
    retryBudget.onRequest();
    SessionContext sessionContext =
        new SessionContext(
            settings,
            engineClient,
            selector,
            retryBudget,
            metrics,
            context.clock(),
            () -> ThreadLocalRandom.current().nextLong());
    ChatSession session = ChatSession.create(sessionContext, start);
    sessions.put(session.requestId(), session);
    session.ended().thenRun(() -> sessions.remove(session.requestId(), session));
    session.begin();
    return session
        .accepted()
        .thenCompose(ready -> respond(session, start.call()))
        .exceptionally(
            failure -> {
              throw RequestFailedException.of(session.requestId(), failure);
            });
  }

  private CompletionStage<HttpResponse> respond(ChatSession session, ChatCall call) {
    String id = session.requestId();
    if (call.stream()) {
      return CompletableFuture.completedFuture(
          ChatResponses.stream(id, ResponseStage.create(session)));
    }
    ActorSystem<Void> system = context.system();
    return ResponseStage.create(session)
        .runWith(Sink.fold(ByteString.emptyByteString(), ByteString::concat), system)
        .thenApply(
            events ->
                ChatResponses.completion(
                    id, CompletionAssembler.assemble(events.toArray(), call.modelName())));
  }

  private RetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service, name -> RetryBudget.create(settings.retryBudget(), context.clock()));
  }

  /** Returns the models that an account may call. */
  HttpResponse listModels(AccountSpec account) {
    return ChatResponses.modelList(context.configuration().get(), account);
  }

  /** Resumes the stream of a request, whichever daemon owns it. */
  CompletionStage<HttpResponse> resume(HttpRequest request, String id, AccountSpec account) {
    request.discardEntityBytes(context.system());
    long offset = ChatResponses.parseLastEventId(request);
    ChatSession session = sessions.get(id);
    if (session != null) {
      requireOwner(session.start().account(), account);
      session.detach("the caller resumed the stream on another connection");
    }
    return findOwned(id, account)
        .thenCompose(
            record ->
                records
                    .takeOver(id)
                    .thenApply(takenOver -> takenOver.orElseThrow(ChatService::notFound)))
        .thenCompose(takenOver -> serveTakenOver(takenOver, account, offset));
  }

  private CompletionStage<HttpResponse> serveTakenOver(
      TakeoverResult takenOver, AccountSpec account, long offset) {
    RequestDescriptor draft = takenOver.requestRecord().request();
    detachedSessions.remove(takenOver.requestRecord().requestId());
    if (takenOver.requestRecord().outcome().isPresent()) {
      throw ServingException.of(
          ErrorKind.NOT_FOUND, "request has ended; its stream is no longer available");
    }
    Duration remaining = Duration.between(context.wallClock().instant(), draft.deadline());
    ChatCall call =
        parser
            .parse(
                draft.body(),
                account,
                context.configuration().get(),
                account.priority(),
                remaining,
                Optional.empty())
            .withStreaming();
    RecordProgress progress = takenOver.requestRecord().progress();
    if (offset != 0 && offset < progress.baseOffset()) {
      takenOver
          .handle()
          .close(RecordOutcome.failed(ErrorKind.STREAM_CUT, ErrorKind.STREAM_CUT.execution()));
      throw ServingException.of(
          ErrorKind.STREAM_CUT, "tokens after the last event id are no longer available");
    }
    return serve(
        new SessionStart(account.name(), call, takenOver.handle(), tokens -> {}, progress, offset));
  }

  /** Returns the state of a request: running, or its outcome. */
  CompletionStage<HttpResponse> findOutcome(String id, AccountSpec account) {
    ChatSession session = sessions.get(id);
    if (session != null) {
      requireOwner(session.start().account(), account);
      return CompletableFuture.completedFuture(ChatResponses.running(id, session.phase()));
    }
    CompletableFuture<Optional<RequestRecord>> found = records.find(id);
    return found
        .exceptionally(failure -> Optional.empty())
        .thenCompose(
            record -> {
              if (record.isEmpty()) {
                return callOutcome(id, account, found);
              }
              requireOwner(record.get().request().account(), account);
              return CompletableFuture.completedFuture(ChatResponses.requestOutcome(record.get()));
            });
  }

  /**
   * Returns the state of a call of a plain service. If the id is unknown and the search for a
   * request record failed, returns that failure.
   */
  private CompletionStage<HttpResponse> callOutcome(
      String id, AccountSpec account, CompletableFuture<Optional<RequestRecord>> search) {
    return records
        .callOutcome(id, account.name())
        .thenCompose(
            outcome ->
                outcome.state() == CallState.NOT_HELD && search.isCompletedExceptionally()
                    ? search.thenApply(ignored -> ChatResponses.callOutcome(id, outcome))
                    : CompletableFuture.completedFuture(ChatResponses.callOutcome(id, outcome)));
  }

  /** Cancels a request and its attempt at the engine. */
  CompletionStage<HttpResponse> cancel(String id, AccountSpec account) {
    ChatSession session = sessions.get(id);
    if (session != null) {
      requireOwner(session.start().account(), account);
      session.cancel();
      return CompletableFuture.completedFuture(ChatResponses.cancelled(id));
    }
    return findOwned(id, account)
        .thenCompose(
            record ->
                records
                    .takeOver(id)
                    .thenApply(takenOver -> takenOver.orElseThrow(ChatService::notFound)))
        .thenApply(
            takenOver -> {
              cancelTakenOver(takenOver.requestRecord(), takenOver.handle());
              return ChatResponses.cancelled(id);
            });
  }

  private void cancelTakenOver(RequestRecord record, RecordHandle handle) {
    RecordProgress progress = record.progress();
    if (record.outcome().isPresent()) {
      return;
    }
    handle.close(RecordOutcome.failed(ErrorKind.CANCELLED, ErrorKind.CANCELLED.execution()));
    if (progress.attempt() > 0) {
      engineClient.cancel(progress.endpointUrl(), record.requestId(), progress.attempt());
    }
  }

  private CompletableFuture<RequestRecord> findOwned(String id, AccountSpec account) {
    return records
        .find(id)
        .thenApply(
            found -> {
              RequestRecord record = found.orElseThrow(ChatService::notFound);
              requireOwner(record.request().account(), account);
              return record;
            });
  }

  private static void requireOwner(String owner, AccountSpec account) {
    if (!owner.equals(account.name())) {
      throw notFound();
    }
  }

  static ServingException notFound() {
    return ServingException.of(ErrorKind.NOT_FOUND, "no such request of this client account");
  }

  Collection<ChatSession> sessions() {
    return sessions.values();
  }

  /** Checks the timeouts of all requests. */
  void tick() {
    for (ChatSession session : sessions.values()) {
      if (session.tick()) {
        detachedSessions.add(session);
      }
    }
    for (ChatSession session : detachedSessions.removeExpired()) {
      session.cancelDetached();
    }
  }

  /** Rejects new requests, waits for open streams and hands the remaining requests over. */
  CompletableFuture<Void> drain(Duration timeout) {
    draining = true;
    List<CompletableFuture<Void>> openSessions = new ArrayList<>();
    for (ChatSession session : sessions.values()) {
      openSessions.add(session.ended());
    }
    long waitMillis = Math.max(0, timeout.toMillis() - HAND_OVER_TIMEOUT_MILLIS);
    return CompletableFuture.allOf(openSessions.toArray(CompletableFuture[]::new))
        .completeOnTimeout(null, waitMillis, TimeUnit.MILLISECONDS)
        .thenCompose(done -> handOver());
  }

  private CompletableFuture<Void> handOver() {
    List<CompletableFuture<Void>> handOvers = new ArrayList<>();
    for (ChatSession session : sessions.values()) {
      handOvers.add(
          session
              .start()
              .record()
              .handOver()
              .handle((done, failure) -> null)
              .thenAccept(
                  done -> session.detach("this daemon is leaving; resume at another daemon")));
    }
    return CompletableFuture.allOf(handOvers.toArray(CompletableFuture[]::new))
        .completeOnTimeout(null, HAND_OVER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }
}
