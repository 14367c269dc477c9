package org.medlarhook.standins.engine

/** A prefix cache with blocks of fixed length and least-recently-used eviction. Thread-safe. */
internal class PrefixCache(
    capacityTokens: Int,
    private val onChange: (CacheEvent.Kind, Long) -> Unit,
) {
    private val capacityBlocks = capacityTokens / BLOCK_TOKENS
    private val blocks = LinkedHashMap<Long, Unit>(INITIAL_BLOCKS, LOAD_FACTOR, true)

    /** Returns the number of leading tokens of [prompt] that are cached, and caches all full blocks of the prompt. */
    @Synchronized
    fun matchAndStore(prompt: String): Int {
        var hash = 0L
        var matchedBlocks = 0
        var isMatching = true
        for (start in 0..prompt.length - BLOCK_CHARS step BLOCK_CHARS) {
            hash = hash * PRIME + prompt.substring(start, start + BLOCK_CHARS).hashCode()
            isMatching = isMatching && blocks.containsKey(hash)
            if (isMatching) matchedBlocks++
            store(hash)
        }
        return matchedBlocks * BLOCK_TOKENS
    }

    private fun store(hash: Long) {
        val isNew = blocks.put(hash, Unit) == null
        if (isNew) onChange(CacheEvent.Kind.STORED, hash)
        if (blocks.size <= capacityBlocks) return
        val eldest = blocks.keys.first()
        blocks.remove(eldest)
        onChange(CacheEvent.Kind.EVICTED, eldest)
    }

    private companion object {
        const val BLOCK_TOKENS = 64
        const val BLOCK_CHARS = 256
        const val PRIME = 1_000_003L
        const val INITIAL_BLOCKS = 256
        const val LOAD_FACTOR = 0.75f
    }
}
