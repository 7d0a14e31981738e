import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;

/**
 * A link between one daemon and the platform that can be cut. What was sent on open channels while it
 * is cut arrives with TCP's first retransmission after the heal, unless the sender resets the
 * channel. Channels that are opened meanwhile deliver nothing, ever.
 */
final class Link {
  private final ServerSocket listener;
  /** First retransmission timeout of TCP on Linux; each further one is twice as long. */
  private static final long RETRANSMISSION_MILLIS = 200;

  private final int target;
  private Predicate<String> trigger = text -> false;
  private Runnable onTrigger = () -> {};
  private volatile boolean cut;
  private volatile long healedNanos = System.nanoTime();

  Link(int target) throws IOException {
    this.target = target;
    listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    Worker.daemonThread(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Runs an action before bytes are forwarded to the platform that the predicate accepts. */
  synchronized void onNext(Predicate<String> predicate, Runnable action) {
    trigger = predicate;
    onTrigger = action;
  }

  synchronized void cut() {
    cut = true;
  }

  synchronized void heal() {
    healedNanos = System.nanoTime();
    cut = false;
  }

  private void accept() {
    while (true) {
      try {
        Socket near = listener.accept();
        if (cut) {
          // The opening packet is lost; the daemon gives up before it would be sent again.
          Worker.daemonThread(() -> discard(near));
          continue;
        }
        Socket far = new Socket(InetAddress.getByName("127.0.0.1"), target);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        Worker.daemonThread(() -> pump(near, far, true));
        Worker.daemonThread(() -> pump(far, near, false));
      } catch (IOException e) {
        return;
      }
    }
  }

  private static void discard(Socket socket) {
    try (socket) {
      socket.getInputStream().transferTo(OutputStream.nullOutputStream());
    } catch (IOException e) {
      // The daemon has closed it.
    }
  }

  private void pump(Socket from, Socket to, boolean toPlatform) {
    byte[] block = new byte[65_536];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int got = in.read(block); got >= 0; got = in.read(block)) {
        if (toPlatform) {
          checkTrigger(new String(block, 0, got, StandardCharsets.ISO_8859_1));
        }
        awaitDelivery();
        out.write(block, 0, got);
        out.flush();
      }
      awaitDelivery();
    } catch (IOException | InterruptedException e) {
      // Reset by one side: what is held is lost.
    }
  }

  private void checkTrigger(String text) {
    Runnable action = null;
    synchronized (this) {
      if (trigger.test(text)) {
        action = onTrigger;
        trigger = other -> false;
      }
    }
    if (action != null) {
      action.run();
    }
  }

  /** Waits until what was sent just now arrives: at once, or by a retransmission after a cut. */
  private void awaitDelivery() throws InterruptedException {
    long sentNanos = System.nanoTime();
    if (!cut) {
      return;
    }
    while (cut) {
      Thread.sleep(5);
    }
    long heldMillis = (healedNanos - sentNanos) / 1_000_000;
    long dueMillis = 0;
    for (long step = RETRANSMISSION_MILLIS; dueMillis < heldMillis; step *= 2) {
      dueMillis += step;
    }
    long leftMillis = dueMillis - (System.nanoTime() - sentNanos) / 1_000_000;
    Thread.sleep(Math.max(0, leftMillis));
  }
}
