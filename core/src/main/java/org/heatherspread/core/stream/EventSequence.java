package org.heatherspread.core.stream;

/**
 * Position of a caller in an event stream, over all runs that write to it. A run that goes on with
 * the stream must begin with the event after the last one that the caller has.
 *
 * <p>Invariant: once the id of an event is known, only the event with the next id follows; an event
 * without an id cannot be shown to be the next one. Not thread-safe.
 */
public final class EventSequence {
  private static final long UNKNOWN = -1;

  private long lastId;
  private boolean started;

  private EventSequence(long lastId) {
    this.lastId = lastId;
  }

  /** Creates the sequence of a stream from its beginning, whose first event may have any id. */
  public static EventSequence fromBeginning() {
    return new EventSequence(UNKNOWN);
  }

  /** Creates the sequence of a stream whose caller has all events up to the given one. */
  public static EventSequence after(long lastId) {
    return new EventSequence(lastId);
  }

  /**
   * Returns whether an event is the next one of the stream.
   *
   * @param id id of the event, -1 if it has none
   */
  public boolean isNext(long id) {
    return lastId == UNKNOWN || id == lastId + 1;
  }

  /** Records an event that was forwarded to the caller, which must be the next one. */
  public void advance(long id) {
    started = true;
    lastId = id;
  }

  /** Returns whether another run can go on with the stream, or begin it. */
  public boolean canResume() {
    return !started || lastId != UNKNOWN;
  }

  /** Returns the id of the last event that the caller has, -1 if it is unknown or there is none. */
  public long lastId() {
    return lastId;
  }
}
