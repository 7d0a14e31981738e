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
 * Stream stage that produces a response body. Reads from the engine only on demand of the caller: a
 * slow caller takes no memory in the daemon, because the engine retains the stream.
 *
 * <p>Materialized once per session; the logic runs in the caller's connection.
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

  /** Command of the session, executed by the actor of the stage. */
  private sealed interface Command {
    record Connect(int step, Source<ByteString, ?> body) implements Command {}

    record Disconnect() implements Command {}

    record Finish(ByteString last, Optional<Throwable> failure) implements Command {}
  }

  /**
   * Logic of the stage. Confined to the actor of the stage, except for the methods of {@link
   * ResponseOutput}.
   */
  private final class Logic extends TimerGraphStageLogic implements ResponseOutput {
    private AsyncCallback<Command> commandCallback;
    private SubSinkInlet<ByteString> engineInlet;
    private ByteString pendingBytes = ByteString.emptyByteString();
    private Command.Finish finish;

    Logic() {
      super(shape);
      setHandler(out, new CallerHandler());
    }

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

    /**
     * Sends the pending bytes if the caller has demand, and ends the response when all bytes are
     * sent.
     */
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

    /** Reads the rest of the engine's response so that its connection can be reused. */
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
