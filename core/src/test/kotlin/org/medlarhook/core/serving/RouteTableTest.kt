package org.medlarhook.core.serving

import org.medlarhook.core.serving.config.RouteTable
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class RouteTableTest {
    private val table =
        RouteTable(
            listOf(
                route {
                    name = "outer"
                    prefix = "/a/"
                },
                route {
                    name = "inner"
                    prefix = "/a/b/"
                },
                route {
                    name = "other"
                    host = "other.example"
                    prefix = "/"
                },
            ),
        )

    @Test
    fun `Given nested prefixes, then the route with the longest prefix of the path is found`() {
        assertEquals("inner", table.find("one.example", "/a/b/c")?.name)
        assertEquals("outer", table.find("one.example", "/a/bc")?.name)
    }

    @Test
    fun `Given a path that is a prefix without its last slash, then no route is found`() {
        assertNull(table.find("one.example", "/a"))
    }

    @Test
    fun `Given a host with a port and capital letters, then its route is found`() {
        assertEquals("other", table.find("Other.Example:8080", "/x/y")?.name)
    }

    @Test
    fun `Given a host without routes, then no route is found`() {
        assertNull(table.find("two.example", "/a/"))
    }
}
