package org.medlarhook.core.serving.usage

import kotlinx.serialization.Serializable

/**
 * What all processes agree on in one era of the store, kept in a row of that era. Both times are on the store's clock,
 * which is steady within an era, so that a greater offset also moves the beginning of the era on the shared clock.
 *
 * @property offsetMs the shared clock minus the store's clock. It only grows: a process that is ahead of the others
 * raises it, since a clock can be behind by a suspension, and windows that were reported must not be counted again.
 * @property beganStoreMs a time at or after the beginning of the era, or null in the first era.
 */
@Serializable
public data class SharedClockRow(
    val offsetMs: Long,
    val beganStoreMs: Long? = null,
) {
    /** The beginning of the era on the shared clock, or null in the first era. */
    public val beganAtMs: Long? get() = beganStoreMs?.plus(offsetMs)
}
