package org.medlarhook.core.serving.answer

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull

class EmbeddedHeadSearchTest {
    private val head = "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 4\r\nattempt-id: a\r\n\r\nlate"

    private fun read(parts: List<String>, known: String = "a"): EmbeddedHeadSearch =
        parts.fold(EmbeddedHeadSearch(listOf("Attempt-Id", "Stamp"))) { search, part ->
            if (search.foundName == null) search.read(part) { it == known } else search
        }

    @Test
    fun `Given a head of a known request, then it is found however the body is read`() {
        val body = "HTT, HTTP/1.1 and HTTP/2 $head and more"

        for (size in 1..body.length) assertEquals("a", read(body.chunked(size)).foundName, "parts of $size")
        assertEquals("a", read(listOf(body.replace("\r\n", "\n"))).foundName)
        assertEquals("s", read(listOf(body.replace("attempt-id: a", "stamp: s")), known = "s").foundName)
    }

    @Test
    fun `Given a head of an unknown request, or a text like one, then none is found`() {
        val bodies =
            listOf(
                head.replace("attempt-id: a", "attempt-id: b"),
                "HTTP/1.1 504\r\n\r\nattempt-id: a\r\n",
                "attempt-id: a\r\n",
            )

        for (body in bodies) for (size in 1..body.length) assertNull(read(body.chunked(size)).foundName, body)
    }

    @Test
    fun `Given the end of a body, then it is inside a head only if one may have begun and has not ended`() {
        val inside = listOf("x HTT", "HTTP/1.1 50", "HTTP/1.1 504 Gate", head.substringBefore("attempt"))
        val outside = listOf("", "x", "HTTP/2.0 200 ", "$head, x", "HTTP/1.1 5xx and so on")

        assertEquals(inside, inside.filter { read(listOf(it), known = "z").isInsideHead })
        for (body in outside) assertFalse(read(listOf(body), known = "z").isInsideHead, body)
    }

    @Test
    fun `Given a head without end, then what is kept of it is bounded`() {
        val long = read(List(1_000) { "HTTP/1.1 200 and so on " + "x".repeat(100) })

        assertEquals(true, long.toString().length < 100 && !long.read("x".repeat(9_000)) { true }.isInsideHead)
    }
}
