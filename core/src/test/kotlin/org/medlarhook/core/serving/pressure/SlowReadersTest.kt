package org.medlarhook.core.serving.pressure

import kotlin.test.Test
import kotlin.test.assertEquals

class SlowReadersTest {
    private val held =
        listOf(
            PendingOutput("fresh", bytes = 900, sinceMs = 9_900),
            PendingOutput("small", bytes = 50, sinceMs = 0),
            PendingOutput("large", bytes = 400, sinceMs = 9_000),
            PendingOutput("larger", bytes = 500, sinceMs = 9_000),
        )

    private fun ended(excessBytes: Long) = SlowReaders.toEnd(held, excessBytes, nowMs = 10_000).map { it.connection }

    @Test
    fun `Given more output than fits, then as few slow connections as needed end, and none that reads`() {
        assertEquals(emptyList(), ended(0))
        assertEquals(listOf("larger"), ended(500))
        assertEquals(listOf("larger", "large"), ended(501))
        assertEquals(listOf("larger", "large", "small"), ended(10_000))
    }
}
