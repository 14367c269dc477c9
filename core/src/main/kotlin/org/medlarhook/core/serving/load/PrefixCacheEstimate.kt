package org.medlarhook.core.serving.load

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The prompt parts that an engine is believed to hold, from the requests that this process has sent there.
 *
 * Engines let the least recently used parts yield. A part is forgotten once the tokens that were read there since its
 * last use would fill the engine's memory: this process's own, times [SENDERS] for those of other processes.
 */
public data class PrefixCacheEstimate(
    private val readAtUse: PersistentMap<String, Long> = persistentMapOf(),
    private val readTokens: Long = 0,
) {
    /** Tokens at the beginning of a prompt with [parts] that need not be read again by an engine of [memoryTokens]. */
    public fun cachedTokens(parts: List<PromptPart>, memoryTokens: Long): Int =
        parts.takeWhile { part -> readAtUse[part.id]?.let { isHeld(it, memoryTokens) } == true }.sumOf { it.tokens }

    /** Records that the engine has read [parts]. */
    public fun prefilled(parts: List<PromptPart>, memoryTokens: Long): PrefixCacheEstimate {
        val held = cachedTokens(parts, memoryTokens)
        val read = readTokens + parts.sumOf { it.tokens } - held
        val updated = parts.fold(readAtUse) { map, part -> map.put(part.id, read) }
        return PrefixCacheEstimate(if (updated.size > MAX_PARTS) prune(updated, memoryTokens) else updated, read)
    }

    private fun isHeld(readAt: Long, memoryTokens: Long): Boolean = (readTokens - readAt) * SENDERS < memoryTokens

    private fun prune(parts: PersistentMap<String, Long>, memoryTokens: Long): PersistentMap<String, Long> {
        val oldestKept = parts.values.sorted()[parts.size - MAX_PARTS / 2]
        val builder = parts.builder()
        parts.forEach { (id, readAt) -> if (readAt < oldestKept || !isHeld(readAt, memoryTokens)) builder.remove(id) }
        return builder.build()
    }

    private companion object {
        /** Processes that send to an engine, in the mean: those of its data centre and what spills over. */
        const val SENDERS = 3

        /** Bounds this process's memory: parts of an engine's whole cache at 400 tokens a part. */
        const val MAX_PARTS = 2_000
    }
}
