package org.medlarhook.core.serving.answer

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ConnectionHistoryTest {
    private val fresh = ConnectionHistory()
    private val kept = fresh.sent("a").answered("a", "stamp-a")

    @Test
    fun `Given a new connection, then it carries any request and the first answer needs no id`() {
        assertTrue(fresh.isDistinct("a"))
        assertTrue(fresh.isDistinct(null))
        assertTrue(fresh.sent("a").isAnswerToLatest("a"))
        assertTrue(fresh.sent("a").isAnswerToLatest(null))
    }

    @Test
    fun `Given a kept connection, then only an answer with the id of the latest request is taken for its answer`() {
        val later = kept.sent("b")

        assertTrue(later.isAnswerToLatest("b"))
        assertFalse(later.isAnswerToLatest("a"))
        assertFalse(later.isAnswerToLatest(null))
        assertFalse(fresh.sent("b").isAnswerToLatest("a"))
    }

    @Test
    fun `Given a kept connection, then requests with the same id or without one are not distinct on it`() {
        assertTrue(kept.isDistinct("b"))
        assertFalse(kept.isDistinct("a"))
        assertFalse(kept.isDistinct(null))
        assertFalse(kept.sent("b").answered("b", "stamp-b").isDistinct("a"))
    }

    @Test
    fun `Given a first answer without an id, then nothing follows on its connection`() {
        val silent = fresh.sent("a").answered(null, null)

        assertTrue(kept.canCarryMore)
        assertFalse(silent.canCarryMore)
        assertFalse(silent.isDistinct("b"))
    }

    @Test
    fun `Given a request without an id, then its answer without one says nothing of the others`() {
        val released = kept.sent(null).answered(null, null)

        assertTrue(kept.sent(null).isAnswerToLatest(null))
        assertFalse(kept.sent(null).isAnswerToLatest("a"))
        assertTrue(released.canCarryMore)
        assertFalse(released.sent("b").isAnswerToLatest(null))
    }

    @Test
    fun `Given an answer without an id, then only its stamp shows that it is an earlier one`() {
        val later = kept.sent("b")

        assertTrue(later.isKnownExtra("a", null))
        assertTrue(later.isKnownExtra(null, "stamp-a"))
        assertFalse(later.isKnownExtra(null, "stamp-b"))
        assertFalse(later.isKnownExtra(null, null))
    }

    @Test
    fun `Given many requests on one connection, then what is kept of them is bounded`() {
        val long =
            (1..1_000).fold(fresh) { history, number ->
                history.sent("id-$number").answered("id-$number", "s-$number")
            }

        assertTrue(long.toString().length < 1_000)
        assertEquals(listOf(false, true), listOf("id-1000", "id-1001").map { long.isDistinct(it) })
    }
}
