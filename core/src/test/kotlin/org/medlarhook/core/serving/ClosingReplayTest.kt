package org.medlarhook.core.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against sending requests to engines that have closed themselves, and against losing engines that open again.
 *
 * A closed engine has an empty queue, so that a process that ignores the closing prefers it to all others.
 */
class ClosingReplayTest {
    private class Compared(
        val load: Double,
        val seed: Int,
    ) {
        val honoured = ClosingReplay(ClosingPolicy.HONOUR, seed, load).play()
        val ignored = ClosingReplay(ClosingPolicy.IGNORE, seed, load).play()
        val neverReturned = ClosingReplay(ClosingPolicy.NEVER_RETURN, seed, load).play()

        override fun toString(): String =
            "load $load, seed $seed: honoured $honoured, ignored $ignored, never returned $neverReturned"
    }

    private val compared =
        listOf(0.9, 1.3).flatMap { load -> (1..SEEDS).map { Compared(load, it) } }.onEach { println(it) }

    @Test
    fun `Given engines that close in turn, then none gets a request half a second after it has closed`() {
        assertEquals(List(compared.size) { 0 }, compared.map { it.honoured.reachedLate })
    }

    @Test
    fun `Given engines that close in turn, then more is served in time than by ignoring it or never returning`() {
        val worse = compared.filter {
            it.honoured.inTimeShare <= maxOf(it.ignored.inTimeShare, it.neverReturned.inTimeShare)
        }

        assertTrue(worse.isEmpty(), "expected more in time than by either baseline: $worse")
    }

    private companion object {
        const val SEEDS = 5
    }
}
