package org.heatherspread.core.freshness;

/**
 * The knowledge that the store was in an era at a time of its clock: if it still is, it has not
 * been restored from an earlier copy since then. Immutable; stored as JSON under the names of its
 * components.
 *
 * <p>A process that starts after a restore reads the new era as its first one, so its own reads
 * cannot tell how long the era has lasted. Observations are therefore handed on in the store. A
 * copy of the store holds only those of earlier eras, so none can outlive a restore.
 *
 * @param era number of restores
 * @param sinceStoreMillis time on the store's clock of a read in this era, {@code Long.MAX_VALUE}
 *     if there was none
 */
public record EraObservation(long era, long sinceStoreMillis) {
  /** Returns the earlier observation if both are of the same era, else this one. */
  public EraObservation earliest(EraObservation other) {
    return other.era == era && other.sinceStoreMillis < sinceStoreMillis ? other : this;
  }
}
