package org.medlarhook.core.serving.fleet

import kotlinx.serialization.Serializable

/**
 * Up to where the changes of the registry are known: [version] of the store in its [era].
 *
 * Positions of two eras can't be compared, since a store that comes back from an older copy gives versions out again.
 */
@Serializable
public data class RegistryPosition(
    val era: Long,
    val version: Long,
) {
    /** True if all changes up to [other] are known here too. */
    public fun covers(other: RegistryPosition): Boolean = era == other.era && version >= other.version
}
