package org.medlarhook.serving.process

/**
 * The era of the store, which rises by one each time the store comes back from a copy that is some seconds old.
 *
 * What was written in those seconds is gone then, and versions and feed positions are given out again.
 */
public interface StoreEra {
    /** The highest era of any answer so far, 0 if the store names none, or null before the first answer. */
    public val current: Long?
}
