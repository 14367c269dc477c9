package org.medlarhook.core.serving

import org.medlarhook.core.serving.fleet.RegistryPosition
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.resume.BegunStream
import org.medlarhook.core.serving.resume.StreamOrigin
import org.medlarhook.core.serving.resume.StreamVersions
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class StreamVersionsTest {
    private val first = upstream("e1") { softwareVersion = "v1" }
    private val second = upstream("e2") { softwareVersion = "v2" }
    private val watched = StreamVersions().registryChanged(emptyList(), listOf(first), 0).awaited("lm", 15_000)

    /** A read of the registry at [nowMs] that shows no change. */
    private fun StreamVersions.watchedUntil(nowMs: Long, vararg registered: Upstream): StreamVersions =
        registryChanged(registered.toList(), registered.toList(), nowMs)

    private fun StreamVersions.single(nowMs: Long, vararg registered: String) =
        singleVersion(
            "lm",
            listOf(first, second).filter { it.id in registered },
            durationMs = 2_000,
            confirmedSinceMs = nowMs - StreamVersions.REGISTRATION_DELAY_MS,
            nowMs,
        )

    private fun StreamVersions.began(attemptId: String, version: String, remainingMs: Long, nowMs: Long = 0) =
        began(BegunStream("w", attemptId, "lm", version, remainingMs), nowMs)

    @Test
    fun `Given a recorded stream, then its origin is known until it expires, with any number of versions`() {
        val versions = watched.began("a", "v2", remainingMs = 5_000)

        assertEquals(StreamOrigin.BegunAt("lm", "v2"), versions.recorded("w", "a", 4_999))
        assertNull(versions.recorded("w", "a", 5_000))
        assertNull(versions.recorded("w", "b", 1_000))
        assertNull(versions.recorded("other", "a", 1_000))
        assertNull(versions.prune(5_000).recorded("w", "a", 1_000))
    }

    @Test
    fun `Given two streams of one identifier at two versions, then the origin of neither is known`() {
        val versions = watched.began("a", "v1", remainingMs = 5_000).began("a", "v2", remainingMs = 1_000, nowMs = 100)

        assertEquals(StreamOrigin.Unknown, versions.recorded("w", "a", 4_999))
    }

    @Test
    fun `Given an identifier that is blank or too long, or an endless deadline, then memory stays bounded`() {
        assertNull(watched.began(" ", "v1", remainingMs = 5_000).recorded("w", " ", 0))
        assertNull(watched.began("a".repeat(65), "v1", remainingMs = 5_000).recorded("w", "a".repeat(65), 0))
        assertNull(watched.began("a", "v1", remainingMs = Long.MAX_VALUE).recorded("w", "a", BegunStream.MAX_STREAM_MS))
    }

    @Test
    fun `Given no read of the registry for longer than a registration takes to spread, then no version is known`() {
        val confirmed = watched.registryChanged(listOf(first), listOf(first), 20_000)

        assertEquals("v1", confirmed.single(25_000, "e1"))
        assertNull(confirmed.single(25_001, "e1"))
    }

    @Test
    fun `Given one version for as long as a stream can run, then it is known`() {
        assertEquals("v1", watched.watchedUntil(20_000, first).single(20_000, "e1"))
        assertNull(watched.watchedUntil(19_999, first).single(19_999, "e1"))
    }

    @Test
    fun `Given callers that may wait longer than the request that takes a stream up, then their time counts`() {
        val replaced = watched.registryChanged(listOf(first), listOf(second), 10_000)
        val versions = replaced.awaited("lm", 30_000).awaited("lm", 2_000).awaited("other", 100_000)

        assertNull(versions.watchedUntil(45_000, second).single(45_000, "e2"))
        assertEquals("v2", versions.watchedUntil(45_001, second).single(45_001, "e2"))
    }

    @Test
    fun `Given a service of which no caller's time is known, then no version is known`() {
        val untold = StreamVersions().registryChanged(emptyList(), listOf(first), 0)

        assertNull(untold.watchedUntil(60_000, first).single(60_000, "e1"))
    }

    @Test
    fun `Given two versions, or one that left while a stream can still run, then none is known`() {
        val both = watched.registryChanged(listOf(first), listOf(first, second), 30_000)
        assertNull(both.watchedUntil(60_000, first, second).single(60_000, "e1", "e2"))

        val replaced = both.registryChanged(listOf(first, second), listOf(second), 40_000)
        assertNull(replaced.watchedUntil(60_000, second).single(60_000, "e2"))
        assertEquals("v2", replaced.watchedUntil(60_001, second).single(60_001, "e2"))
    }

    @Test
    fun `Given a registry that was out of reach, then no version is known until it was watched long enough again`() {
        val back = watched.registryLost().registryChanged(listOf(first), listOf(first), 50_000)

        assertNull(watched.watchedUntil(50_000, first).registryLost().single(50_000, "e1"))
        assertNull(back.watchedUntil(69_999, first).single(69_999, "e1"))
        assertEquals("v1", back.watchedUntil(70_000, first).single(70_000, "e1"))
    }

    @Test
    fun `Given a stream taken up after the last read of the registry, then no version is known until the next read`() {
        val read = watched.watchedUntil(29_999, first)

        assertNull(read.singleVersion("lm", listOf(first), 2_000, confirmedSinceMs = 30_000, nowMs = 30_010))
        val confirmed = read.registryConfirmed(30_000, RegistryPosition(0, 5))
        assertEquals(
            "v1",
            confirmed.singleVersion("lm", listOf(first), 2_000, confirmedSinceMs = 30_000, nowMs = 30_010),
        )
    }

    @Test
    fun `Given a process that began to watch later, then others answer it only with all changes up to there`() {
        val known = watched.registryChanged(listOf(first), listOf(first), 30_000, position = RegistryPosition(1, 7))

        fun answer(era: Long, version: Long) =
            known.singleVersionUpTo(RegistryPosition(era, version), "lm", listOf(first), 2_000, 30_000)
        assertEquals("v1", answer(era = 1, version = 7))
        assertNull(answer(era = 1, version = 8))
        assertNull(answer(era = 0, version = 7))
        assertNull(answer(era = 2, version = 7))
        assertNull(known.registryLost().singleVersionUpTo(RegistryPosition(1, 7), "lm", listOf(first), 2_000, 30_000))
    }

    @Test
    fun `Given an upstream that came and left between two reads, then none is known while its streams can run`() {
        val versions = watched.upstreamsMissed(30_000)

        assertNull(versions.watchedUntil(50_000, first).single(50_000, "e1"))
        assertNull(versions.versionSeen("lm", listOf(first), 2_000, 50_000))
        assertEquals("v1", versions.watchedUntil(50_001, first).single(50_001, "e1"))
    }

    @Test
    fun `Given a read that takes long, then a version counts as gone from when its removal was read`() {
        val replaced = watched.registryChanged(listOf(first), listOf(second), readAtMs = 30_000, receivedAtMs = 32_000)

        assertNull(replaced.watchedUntil(52_000, second).single(52_000, "e2"))
        assertEquals("v2", replaced.watchedUntil(52_001, second).single(52_001, "e2"))
    }

    @Test
    fun `Given an upstream that does not tell its version, then none is known`() {
        val untold = upstream("e3")
        val versions = StreamVersions().registryChanged(emptyList(), listOf(untold), 0)

        assertNull(versions.watchedUntil(60_000, untold).singleVersion("lm", listOf(untold), 15_000, 55_000, 60_000))
    }
}
