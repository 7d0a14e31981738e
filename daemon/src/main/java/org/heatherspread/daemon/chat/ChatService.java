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
 * The requests to model services that this daemon owns: accepts, resumes, cancels and hands over.
 *
 * <p>Safe for use by any thread.
 */
final class ChatService {
  private static final Duration BODY_TIME = Duration.ofSeconds(10);
  private static final long HAND_OVER_MILLIS = 500;

  private final DaemonContext context;
  private final ChatSettings settings;
  private final EngineClient engines;
  private final EndpointSelector selector;
  private final Admission admission;
  private final RequestRecords records;
  private final ChatMetrics metrics;
  private final ChatCallReader reader;
  private final BodyReader bodies;
  private final Map<String, ChatSession> sessions = new ConcurrentHashMap<>();
  private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();
  private final ParkedRequests parked;
  private volatile boolean draining;

  private ChatService(
      DaemonContext context,
      ChatSettings settings,
      EngineClient engines,
      EndpointSelector selector,
      Admission admission,
      RequestRecords records) {
    this.context = context;
    this.settings = settings;
    this.engines = engines;
    this.selector = selector;
    this.admission = admission;
    this.records = records;
    this.metrics = ChatMetrics.create(context.meters());
    this.reader = ChatCallReader.create(settings);
    this.bodies = BodyReader.create(context.system(), BODY_TIME);
    this.parked = new ParkedRequests(context.clock(), settings.resumeWindow());
    context.meters().gaugeMapSize("heatherspread.requests.open", List.of(), sessions);
  }

  static ChatService create(
      DaemonContext context,
      ChatSettings settings,
      EngineClient engines,
      EndpointSelector selector,
      Admission admission,
      RequestRecords records) {
    return new ChatService(context, settings, engines, selector, admission, records);
  }

  // ---- callers ----

  /** Accepts and answers a chat completion. */
  CompletionStage<HttpResponse> chat(HttpRequest request, AccountSpec account) {
    if (draining) {
      throw ServingException.of(
          ErrorKind.DAEMON_LEAVING, "this daemon is leaving; ask for addresses again");
    }
    return bodies
        .read(request)
        .thenCompose(
            data -> {
              byte[] body = data.toArrayUnsafe();
              return accept(
                  reader.read(request, body, account, context.configuration().get()), account);
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
    RetryBudget budget = budget(start.call().service());
    budget.onRequest();
    ChatTools tools =
        new ChatTools(
            settings,
            engines,
            selector,
            budget,
            metrics,
            context.clock(),
            () -> ThreadLocalRandom.current().nextLong());
    ChatSession session = ChatSession.create(tools, start);
    sessions.put(session.requestId(), session);
    session.ended().thenRun(() -> sessions.remove(session.requestId(), session));
    session.begin();
    return session
        .taken()
        .thenCompose(ready -> answer(session, start.call()))
        .exceptionally(
            failure -> {
              throw RequestFailure.of(session.requestId(), failure);
            });
  }

  private CompletionStage<HttpResponse> answer(ChatSession session, ChatCall call) {
    String id = session.requestId();
    if (call.stream()) {
      return CompletableFuture.completedFuture(ChatAnswers.stream(id, AnswerStage.source(session)));
    }
    ActorSystem<Void> system = context.system();
    return AnswerStage.source(session)
        .runWith(Sink.fold(ByteString.emptyByteString(), ByteString::concat), system)
        .thenApply(
            events -> ChatAnswers.whole(id, WholeAnswer.join(events.toArray(), call.modelName())));
  }

  private RetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service, name -> RetryBudget.create(settings.retryBudget(), context.clock()));
  }

  /** Lists the models that an account may call. */
  HttpResponse models(AccountSpec account) {
    return ChatAnswers.models(context.configuration().get(), account);
  }

  /** Goes on with the stream of a request, whichever daemon owned it. */
  CompletionStage<HttpResponse> resume(HttpRequest request, String id, AccountSpec account) {
    request.discardEntityBytes(context.system());
    long offset = ChatAnswers.lastEventId(request);
    ChatSession own = sessions.get(id);
    if (own != null) {
      requireOwner(own.start().account(), account);
      own.detach("the caller resumed the stream on another connection");
    }
    return owned(id, account)
        .thenCompose(
            record ->
                records.takeOver(id).thenApply(taken -> taken.orElseThrow(ChatService::notFound)))
        .thenCompose(taken -> adopt(taken, account, offset));
  }

  private CompletionStage<HttpResponse> adopt(
      TakeoverResult taken, AccountSpec account, long offset) {
    RequestDescriptor draft = taken.requestRecord().request();
    parked.remove(taken.requestRecord().requestId());
    if (taken.requestRecord().outcome().isPresent()) {
      throw ServingException.of(
          ErrorKind.NOT_FOUND, "the request has ended and its stream is not kept");
    }
    Duration remaining = Duration.between(context.wallClock().instant(), draft.deadline());
    ChatCall call =
        reader
            .read(
                draft.body(),
                account,
                context.configuration().get(),
                account.priority(),
                remaining,
                Optional.empty())
            .asStream();
    RecordProgress progress = taken.requestRecord().progress();
    if (offset != 0 && offset < progress.baseOffset()) {
      taken
          .handle()
          .close(RecordOutcome.failed(ErrorKind.STREAM_CUT, ErrorKind.STREAM_CUT.execution()));
      throw ServingException.of(
          ErrorKind.STREAM_CUT, "the tokens after the last event id are not kept");
    }
    return serve(
        new SessionStart(account.name(), call, taken.handle(), used -> {}, progress, offset));
  }

  /** Tells how a request stands. */
  CompletionStage<HttpResponse> outcome(String id, AccountSpec account) {
    ChatSession own = sessions.get(id);
    if (own != null) {
      requireOwner(own.start().account(), account);
      return CompletableFuture.completedFuture(ChatAnswers.running(id, own.phase()));
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
              return CompletableFuture.completedFuture(ChatAnswers.outcome(record.get()));
            });
  }

  /** Tells how a call that is not a stream stands; a failed search for a stream stays a failure. */
  private CompletionStage<HttpResponse> callOutcome(
      String id, AccountSpec account, CompletableFuture<Optional<RequestRecord>> search) {
    return records
        .callOutcome(id, account.name())
        .thenCompose(
            outcome ->
                outcome.state() == CallState.NOT_HELD && search.isCompletedExceptionally()
                    ? search.thenApply(never -> ChatAnswers.callOutcome(id, outcome))
                    : CompletableFuture.completedFuture(ChatAnswers.callOutcome(id, outcome)));
  }

  /** Cancels a request and frees its engine. */
  CompletionStage<HttpResponse> cancel(String id, AccountSpec account) {
    ChatSession own = sessions.get(id);
    if (own != null) {
      requireOwner(own.start().account(), account);
      own.cancel();
      return CompletableFuture.completedFuture(ChatAnswers.cancelled(id));
    }
    return owned(id, account)
        .thenCompose(
            record ->
                records.takeOver(id).thenApply(taken -> taken.orElseThrow(ChatService::notFound)))
        .thenApply(
            taken -> {
              free(taken.requestRecord(), taken.handle());
              return ChatAnswers.cancelled(id);
            });
  }

  private void free(RequestRecord record, RecordHandle handle) {
    RecordProgress progress = record.progress();
    if (record.outcome().isPresent()) {
      return;
    }
    handle.close(RecordOutcome.failed(ErrorKind.CANCELLED, ErrorKind.CANCELLED.execution()));
    if (progress.attempt() > 0) {
      engines.cancel(progress.endpointUrl(), record.requestId(), progress.attempt());
    }
  }

  private CompletableFuture<RequestRecord> owned(String id, AccountSpec account) {
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

  // ---- daemon ----

  Collection<ChatSession> sessions() {
    return sessions.values();
  }

  /** Checks the bounds of every request. */
  void tick() {
    for (ChatSession session : sessions.values()) {
      if (session.tick()) {
        parked.add(session);
      }
    }
    for (ChatSession session : parked.expired()) {
      session.free();
    }
  }

  /** Takes no new work, waits for the streams in progress and hands over what is left. */
  CompletableFuture<Void> drain(Duration bound) {
    draining = true;
    List<CompletableFuture<Void>> open = new ArrayList<>();
    for (ChatSession session : sessions.values()) {
      open.add(session.ended());
    }
    long wait = Math.max(0, bound.toMillis() - HAND_OVER_MILLIS);
    return CompletableFuture.allOf(open.toArray(CompletableFuture[]::new))
        .completeOnTimeout(null, wait, TimeUnit.MILLISECONDS)
        .thenCompose(done -> handOver());
  }

  private CompletableFuture<Void> handOver() {
    List<CompletableFuture<Void>> moves = new ArrayList<>();
    for (ChatSession session : sessions.values()) {
      moves.add(
          session
              .start()
              .record()
              .handOver()
              .handle((done, failure) -> null)
              .thenAccept(
                  done -> session.detach("this daemon is leaving; resume at another daemon")));
    }
    return CompletableFuture.allOf(moves.toArray(CompletableFuture[]::new))
        .completeOnTimeout(null, HAND_OVER_MILLIS, TimeUnit.MILLISECONDS);
  }
}
