package org.medlarhook.core.serving.usage

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class WindowCountsTest {
    private fun window(vararg counts: Pair<String, ProcessCount>) = WindowCounts(mapOf(*counts))

    private fun count(requests: Long, isClosed: Boolean = true, isLast: Boolean = false) =
        ProcessCount(mapOf("w" to requests), isClosed, isLast)

    @Test
    fun `Given a process that is cut off, when it published the previous window, then its count is waited for`() {
        val previous = window("a" to count(1), "b" to count(1))

        assertFalse(window("a" to count(1)).isWhole(listOf(previous)))
        assertTrue(window("a" to count(1), "b" to count(2)).isWhole(listOf(previous)))
    }

    @Test
    fun `Given a process that marked its last count, then later windows do not wait for it`() {
        val previous = window("a" to count(1), "b" to count(1, isLast = true))

        assertTrue(window("a" to count(1)).isWhole(listOf(previous)))
    }

    @Test
    fun `Given a process that has ended, when a window before its last one has its count, then it is not waited for`() {
        val older = window("a" to count(1), "b" to count(1))
        val previous = window("a" to count(1), "b" to count(1, isLast = true))

        assertTrue(window("a" to count(1)).isWhole(listOf(previous, older)))
    }

    @Test
    fun `Given a count that is still open, then the window is not whole`() {
        assertFalse(window("a" to count(1, isClosed = false)).isWhole(emptyList()))
    }

    @Test
    fun `Given counts of several processes, then the sum is by workspace`() {
        assertEquals(mapOf("w" to 5L), window("a" to count(2), "b" to count(3)).sum())
    }

    @Test
    fun `Given a killed process, when a later process of its VM has a count, then the window does not wait for it`() {
        val previous = window("a#1" to count(1), "b#1" to count(1))

        assertFalse(window("a#1" to count(1, isClosed = false), "b#1" to count(1)).isWhole(listOf(previous)))
        assertFalse(window("b#1" to count(1)).isWhole(listOf(previous)))
        assertTrue(window("a#2" to count(1), "b#1" to count(1)).isWhole(listOf(previous)))
    }
}
