package org.medlarhook.standins.engine

import kotlinx.serialization.Serializable

/** A change of the prefix cache: [block] is the hash of a block of prompt text and all blocks before it. */
@Serializable
internal data class CacheEvent(
    val sequence: Long,
    val kind: Kind,
    val block: Long,
    val atMs: Long,
) {
    /** Whether the block was stored or evicted. */
    enum class Kind { STORED, EVICTED }
}
