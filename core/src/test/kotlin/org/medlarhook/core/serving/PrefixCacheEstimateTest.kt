package org.medlarhook.core.serving

import org.medlarhook.core.serving.load.PrefixCacheEstimate
import org.medlarhook.core.serving.load.PromptPart
import kotlin.test.Test
import kotlin.test.assertEquals

class PrefixCacheEstimateTest {
    private val manual = PromptPart("manual", 2_500)
    private val session = PromptPart("session", 3_800)

    private fun other(number: Int) = listOf(manual, PromptPart("s$number", 3_800), PromptPart("own$number", 2_900))

    @Test
    fun `Given a prompt that was read, then its beginning is held and a part behind an unknown one is not`() {
        val cache = PrefixCacheEstimate().prefilled(listOf(manual, session), MEMORY)

        assertEquals(6_300, cache.cachedTokens(listOf(manual, session, PromptPart("own", 100)), MEMORY))
        assertEquals(2_500, cache.cachedTokens(listOf(manual, PromptPart("x", 1), session), MEMORY))
    }

    @Test
    fun `Given prompts that fill the engine's memory, then only the part that all share is held`() {
        val first = PrefixCacheEstimate().prefilled(listOf(manual, session), MEMORY)
        val full = (1..50).fold(first) { cache, number -> cache.prefilled(other(number), MEMORY) }

        assertEquals(2_500, full.cachedTokens(listOf(manual, session), MEMORY))
    }

    private companion object {
        const val MEMORY = 783_000L
    }
}
