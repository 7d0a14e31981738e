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
final class ResponseStage extends GraphStage<SourceShape<ByteString>> {
  private static final String DRAIN_TIMER = "read-to-end";
  private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(1);

  private final Outlet<ByteString> out = Outlet.create("answer");
  private final SourceShape<ByteString> shape = SourceShape.of(out);
  private final ChatSession session;

  private ResponseStage(ChatSession session) {
    this.session = session;
  }

  static Source<ByteString, ?> create(ChatSession session) {
    return Source.fromGraph(new ResponseStage(session));
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
  private final class Logic extends TimerGraphStageLogic implements ResponseOutput {
    private AsyncCallback<Command> commandCallback;
    private SubSinkInlet<ByteString> engineInlet;
    private ByteString pendingBytes = ByteString.emptyByteString();
    private Command.Finish finish;

    Logic() {
      super(shape);
      setHandler(out, new CallerHandler());
    }

    // ---- port ----

    @Override
    public void connect(int step, Source<ByteString, ?> body) {
      commandCallback.invoke(new Command.Connect(step, body));
    }

    @Override
    public void disconnect() {
      commandCallback.invoke(new Command.Disconnect());
    }

    @Override
    public void finish(ByteString last, Optional<Throwable> failure) {
      commandCallback.invoke(new Command.Finish(last, failure));
    }

    // ---- stage ----

    @Override
    public void preStart() {
      commandCallback = createAsyncCallback(this::execute);
      session.attach(this);
    }

    private void execute(Command command) {
      if (command instanceof Command.Connect connect) {
        openStream(connect);
      } else if (command instanceof Command.Disconnect) {
        closeStream();
      } else if (command instanceof Command.Finish finishCommand) {
        finish = finishCommand;
        pendingBytes = pendingBytes.concat(finishCommand.last());
        flush();
      }
    }

    private void openStream(Command.Connect connect) {
      closeStream();
      SubSinkInlet<ByteString> inlet = new SubSinkInlet<>("engine");
      inlet.setHandler(new EngineHandler(inlet, connect.step()));
      engineInlet = inlet;
      connect.body().runWith(inlet.sink(), subFusingMaterializer());
      if (isAvailable(out)) {
        inlet.pull();
      }
    }

    private void closeStream() {
      if (engineInlet != null && !engineInlet.isClosed()) {
        engineInlet.cancel();
      }
      engineInlet = null;
    }

    /** Sends what is pending if the caller reads, and ends when all is sent. */
    private void flush() {
      if (!pendingBytes.isEmpty() && isAvailable(out)) {
        push(out, pendingBytes);
        pendingBytes = ByteString.emptyByteString();
        session.setPaused(true);
      }
      if (finish != null && pendingBytes.isEmpty()) {
        if (finish.failure().isPresent()) {
          failStage(finish.failure().get());
        } else if (engineInlet == null || engineInlet.isClosed()) {
          completeStage();
        } else {
          drainEngine();
        }
      }
    }

    /** Reads what is left of the engine's answer, so that its connection can be used again. */
    private void drainEngine() {
      if (!isTimerActive(DRAIN_TIMER)) {
        scheduleOnce(DRAIN_TIMER, DRAIN_TIMEOUT);
      }
      if (!engineInlet.hasBeenPulled()) {
        engineInlet.pull();
      }
    }

    @Override
    public void onTimer(Object key) {
      completeStage();
    }

    private final class CallerHandler extends AbstractOutHandler {
      @Override
      public void onPull() {
        session.setPaused(false);
        flush();
        if (engineInlet != null
            && !engineInlet.isClosed()
            && !engineInlet.hasBeenPulled()
            && isAvailable(out)) {
          engineInlet.pull();
        }
      }

      @Override
      public void onDownstreamFinish(Throwable cause) {
        closeStream();
        session.onDisconnect();
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
        pendingBytes = pendingBytes.concat(session.onChunk(step, chunk));
        flush();
        if (engineInlet == inlet && !inlet.isClosed() && isAvailable(out)) {
          inlet.pull();
        }
      }

      @Override
      public void onUpstreamFinish() {
        handleEnd();
      }

      @Override
      public void onUpstreamFailure(Throwable failure) {
        handleEnd();
      }

      private void handleEnd() {
        session.onStreamEnded(step);
        if (finish != null) {
          flush();
        }
      }
    }
  }
}
