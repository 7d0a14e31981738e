package org.heatherspread.node.soak;

/** Starts the soak's threads, none of which keeps the process alive. */
final class DaemonThreads {
  private DaemonThreads() {}

  static Thread start(String name, Runnable work) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
