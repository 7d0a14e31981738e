package org.heatherspread.daemon.chat;

import java.time.Duration;
import java.util.Optional;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.SourceShape;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.AsyncCallback;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.stream.stage.TimerGraphStageLogic;
import org.apache.pekko.util.ByteString;

/**
 * The body of the answer to a caller. Reads from the engine only when the caller reads, so that a
 * slow caller costs no memory here: the engine keeps its stream.
 *
 * <p>Materialized once for each session; the logic runs in the caller's connection.
 */
final class AnswerStage extends GraphStage<SourceShape<ByteString>> {
  private static final String READ_TO_END = "read-to-end";
  private static final Duration READ_TO_END_BOUND = Duration.ofSeconds(1);

  private final Outlet<ByteString> out = Outlet.create("answer");
  private final SourceShape<ByteString> shape = SourceShape.of(out);
  private final ChatSession session;

  private AnswerStage(ChatSession session) {
    this.session = session;
  }

  static Source<ByteString, ?> source(ChatSession session) {
    return Source.fromGraph(new AnswerStage(session));
  }

  @Override
  public SourceShape<ByteString> shape() {
    return shape;
  }

  @Override
  public GraphStageLogic createLogic(Attributes attributes) {
    return new Logic();
  }

  /** What the session asked for, to be done in the stage's own order. */
  private sealed interface Command {
    record Connect(int step, Source<ByteString, ?> body) implements Command {}

    record Disconnect() implements Command {}

    record Finish(ByteString last, Optional<Throwable> failure) implements Command {}
  }

  /** The running stage; all but the port's calls is confined to its actor. */
  private final class Logic extends TimerGraphStageLogic implements AnswerPort {
    private AsyncCallback<Command> commands;
    private SubSinkInlet<ByteString> engine;
    private ByteString pending = ByteString.emptyByteString();
    private Command.Finish finish;

    Logic() {
      super(shape);
      setHandler(out, new CallerHandler());
    }

    // ---- port ----

    @Override
    public void connect(int step, Source<ByteString, ?> body) {
      commands.invoke(new Command.Connect(step, body));
    }

    @Override
    public void disconnect() {
      commands.invoke(new Command.Disconnect());
    }

    @Override
    public void finish(ByteString last, Optional<Throwable> failure) {
      commands.invoke(new Command.Finish(last, failure));
    }

    // ---- stage ----

    @Override
    public void preStart() {
      commands = createAsyncCallback(this::execute);
      session.attach(this);
    }

    private void execute(Command command) {
      if (command instanceof Command.Connect connect) {
        open(connect);
      } else if (command instanceof Command.Disconnect) {
        closeEngine();
      } else if (command instanceof Command.Finish end) {
        finish = end;
        pending = pending.concat(end.last());
        flush();
      }
    }

    private void open(Command.Connect connect) {
      closeEngine();
      SubSinkInlet<ByteString> inlet = new SubSinkInlet<>("engine");
      inlet.setHandler(new EngineHandler(inlet, connect.step()));
      engine = inlet;
      connect.body().runWith(inlet.sink(), subFusingMaterializer());
      if (isAvailable(out)) {
        inlet.pull();
      }
    }

    private void closeEngine() {
      if (engine != null && !engine.isClosed()) {
        engine.cancel();
      }
      engine = null;
    }

    /** Sends what is pending if the caller reads, and ends when all is sent. */
    private void flush() {
      if (!pending.isEmpty() && isAvailable(out)) {
        push(out, pending);
        pending = ByteString.emptyByteString();
        session.paused(true);
      }
      if (finish != null && pending.isEmpty()) {
        if (finish.failure().isPresent()) {
          failStage(finish.failure().get());
        } else if (engine == null || engine.isClosed()) {
          completeStage();
        } else {
          readToEnd();
        }
      }
    }

    /** Reads what is left of the engine's answer, so that its connection can be used again. */
    private void readToEnd() {
      if (!isTimerActive(READ_TO_END)) {
        scheduleOnce(READ_TO_END, READ_TO_END_BOUND);
      }
      if (!engine.hasBeenPulled()) {
        engine.pull();
      }
    }

    @Override
    public void onTimer(Object key) {
      completeStage();
    }

    private final class CallerHandler extends AbstractOutHandler {
      @Override
      public void onPull() {
        session.paused(false);
        flush();
        if (engine != null && !engine.isClosed() && !engine.hasBeenPulled() && isAvailable(out)) {
          engine.pull();
        }
      }

      @Override
      public void onDownstreamFinish(Throwable cause) {
        closeEngine();
        session.callerGone();
        cancelStage(cause);
      }
    }

    private final class EngineHandler extends AbstractInHandler {
      private final SubSinkInlet<ByteString> inlet;
      private final int step;

      EngineHandler(SubSinkInlet<ByteString> inlet, int step) {
        this.inlet = inlet;
        this.step = step;
      }

      @Override
      public void onPush() {
        ByteString chunk = inlet.grab();
        if (finish != null) {
          flush();
          return;
        }
        pending = pending.concat(session.onChunk(step, chunk));
        flush();
        if (engine == inlet && !inlet.isClosed() && isAvailable(out)) {
          inlet.pull();
        }
      }

      @Override
      public void onUpstreamFinish() {
        ended();
      }

      @Override
      public void onUpstreamFailure(Throwable failure) {
        ended();
      }

      private void ended() {
        session.onLinkEnded(step);
        if (finish != null) {
          flush();
        }
      }
    }
  }
}
