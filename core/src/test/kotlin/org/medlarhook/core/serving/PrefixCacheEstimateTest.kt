package org.medlarhook.core.serving

import org.medlarhook.core.serving.load.PrefixCacheEstimate
import org.medlarhook.core.serving.load.PromptPart
import kotlin.test.Test
import kotlin.test.assertEquals

class PrefixCacheEstimateTest {
    private val manual = PromptPart("manual", 2_500)
    private val session = PromptPart("session", 3_800)

    private fun otherPrompt(number: Int) =
        listOf(manual, PromptPart("s$number", 3_800), PromptPart("own$number", 2_900))

    @Test
    fun `Given a prefilled prompt, then its prefix counts as cached, but not a part after a new part`() {
        val estimate = PrefixCacheEstimate().prefilled(listOf(manual, session), CAPACITY_TOKENS)

        assertEquals(6_300, estimate.cachedTokens(listOf(manual, session, PromptPart("own", 100)), CAPACITY_TOKENS))
        assertEquals(2_500, estimate.cachedTokens(listOf(manual, PromptPart("x", 1), session), CAPACITY_TOKENS))
    }

    @Test
    fun `Given prompts that fill the engine's cache, then only the part that all share counts as cached`() {
        val first = PrefixCacheEstimate().prefilled(listOf(manual, session), CAPACITY_TOKENS)
        val full = (1..50).fold(first) { estimate, number -> estimate.prefilled(otherPrompt(number), CAPACITY_TOKENS) }

        assertEquals(2_500, full.cachedTokens(listOf(manual, session), CAPACITY_TOKENS))
    }

    private companion object {
        const val CAPACITY_TOKENS = 783_000L
    }
}
