package org.heatherspread.node.soak;

/** Starts daemon threads, which do not keep the process alive. Stateless. */
final class DaemonThreads {
  private DaemonThreads() {}

  static Thread start(String name, Runnable work) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
