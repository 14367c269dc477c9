package org.medlarhook.standins.engine

import kotlinx.serialization.Serializable

/** A change of the prefix cache. */
@Serializable
internal data class CacheEvent(
    val sequence: Long,
    val kind: Kind,
    val block: Long,
    val atMs: Long,
) {
    /** What happened to a block. */
    enum class Kind { STORED, EVICTED }
}
