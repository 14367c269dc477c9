package org.medlarhook.core.serving.load

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The prompt parts that an engine is believed to hold, from the requests that this process has sent there.
 *
 * Engines let the least recently used parts yield; what was used longest ago is forgotten here as well.
 */
public data class PartCache(
    private val usedAtMs: PersistentMap<String, Long> = persistentMapOf(),
) {
    /** Tokens at the beginning of a prompt with [parts] that need not be read again. */
    public fun heldTokens(parts: List<PromptPart>, nowMs: Long): Int =
        parts.takeWhile { part -> usedAtMs[part.id]?.let { nowMs - it < FORGET_AFTER_MS } == true }.sumOf { it.tokens }

    /** Records that the engine has read [parts]. */
    public fun used(parts: List<PromptPart>, nowMs: Long): PartCache {
        val updated = parts.fold(usedAtMs) { map, part -> map.put(part.id, nowMs) }
        return PartCache(if (updated.size > MAX_PARTS) prune(updated, nowMs) else updated)
    }

    private fun prune(parts: PersistentMap<String, Long>, nowMs: Long): PersistentMap<String, Long> {
        val oldestKept = parts.values.sorted()[parts.size - MAX_PARTS / 2]
        val limitMs = maxOf(oldestKept, nowMs - FORGET_AFTER_MS)
        val builder = parts.builder()
        parts.forEach { (id, atMs) -> if (atMs < limitMs) builder.remove(id) }
        return builder.build()
    }

    private companion object {
        /** An engine's memory turns over within tens of seconds at full load. */
        const val FORGET_AFTER_MS = 30_000L

        /** Bounds this process's memory: parts of an engine's whole cache at 400 tokens a part. */
        const val MAX_PARTS = 2_000
    }
}
