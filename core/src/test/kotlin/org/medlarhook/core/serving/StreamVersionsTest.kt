package org.medlarhook.core.serving

import org.medlarhook.core.serving.resume.StreamVersions
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class StreamVersionsTest {
    private val first = upstream("e1") { softwareVersion = "v1" }
    private val second = upstream("e2") { softwareVersion = "v2" }
    private val watched = StreamVersions().registryChanged(emptyList(), listOf(first), 0)

    private fun StreamVersions.single(nowMs: Long, vararg registered: String) =
        singleVersion("lm", listOf(first, second).filter { it.id in registered }, durationMs = 15_000, nowMs)

    @Test
    fun `Given a recorded stream, then its version is known until it expires, with any number of versions`() {
        val versions = watched.began("a", "v2", untilMs = 5_000)

        assertEquals("v2", versions.recorded("a", 4_999))
        assertNull(versions.recorded("a", 5_000))
        assertNull(versions.recorded("b", 1_000))
        assertNull(versions.prune(5_000).recorded("a", 1_000))
    }

    @Test
    fun `Given one version for as long as a stream can run, then it is known`() {
        assertEquals("v1", watched.single(20_000, "e1"))
        assertNull(watched.single(19_999, "e1"))
    }

    @Test
    fun `Given two versions, or one that left while a stream can still run, then none is known`() {
        val both = watched.registryChanged(listOf(first), listOf(first, second), 30_000)
        assertNull(both.single(60_000, "e1", "e2"))

        val replaced = both.registryChanged(listOf(first, second), listOf(second), 40_000)
        assertNull(replaced.single(60_000, "e2"))
        assertEquals("v2", replaced.single(60_001, "e2"))
    }

    @Test
    fun `Given a registry that was out of reach, then no version is known until it was watched long enough again`() {
        val back = watched.registryLost().registryChanged(listOf(first), listOf(first), 50_000)

        assertNull(watched.registryLost().single(50_000, "e1"))
        assertNull(back.single(69_999, "e1"))
        assertEquals("v1", back.single(70_000, "e1"))
    }

    @Test
    fun `Given an upstream that does not tell its version, then none is known`() {
        val untold = upstream("e3")
        val versions = StreamVersions().registryChanged(emptyList(), listOf(untold), 0)

        assertNull(versions.singleVersion("lm", listOf(untold), 15_000, 60_000))
    }
}
