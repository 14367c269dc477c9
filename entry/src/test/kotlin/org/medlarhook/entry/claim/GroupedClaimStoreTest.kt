package org.medlarhook.entry.claim

import arrow.core.Either
import org.junit.jupiter.api.Nested
import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.claim.Claim
import org.medlarhook.core.claim.ClaimState
import org.medlarhook.core.claim.ClaimWriteResult
import org.medlarhook.fakes.FaultyTableService
import org.medlarhook.fakes.InMemoryTableService
import org.medlarhook.fakes.ManualTimeSource
import org.medlarhook.fakes.TableFault
import org.medlarhook.ports.ObjectStore
import org.medlarhook.ports.TableFailure
import org.medlarhook.runtime.settings.ClaimSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class GroupedClaimStoreTest {
    private val tables = FaultyTableService(InMemoryTableService())
    private val time = ManualTimeSource()
    private val objects = MapObjectStore()
    private val codec = ClaimCodec(objects, maxInlineBodyBytes = 8)
    private val store = GroupedClaimStore(tables, codec, time, ClaimSettings())
    private val results = HashMap<String, ClaimWriteResult>()

    private fun claim(id: String) = Claim("digest", AttemptRef(id, "upstream-1", "host:1", 3), ClaimState.CLAIMED)

    private fun pending(key: String, id: String, version: Long = 0) =
        PendingWrite(ClaimKey("w", key), claim(id), version) { results[id] = it }

    private fun stored(key: String) =
        assertIs<Either.Right<*>>(tables.read(ClaimKey("w", key).row())).value?.let {
            codec.decode(it as org.medlarhook.ports.Row).getOrNull()
        }

    @Nested
    inner class Groups {
        @Test
        fun `Given one row in conflict, then the other rows are written and the refusal contains the current claim`() {
            store.writeGroup(listOf(pending("a", "first")))
            store.writeGroup(listOf(pending("a", "second"), pending("b", "third"), pending("c", "fourth")))
            val refused = assertIs<ClaimWriteResult.Refused>(results["second"])
            assertEquals(claim("first"), refused.current?.claim)
            assertIs<ClaimWriteResult.Written>(results["third"])
            assertEquals(claim("fourth"), stored("c")?.claim)
        }

        @Test
        fun `Given an update of a row that does not exist, then only that write is refused`() {
            store.writeGroup(listOf(pending("a", "first", version = 77), pending("b", "second")))
            assertNull(assertIs<ClaimWriteResult.Refused>(results["first"]).current)
            assertIs<ClaimWriteResult.Written>(results["second"])
        }

        @Test
        fun `Given tables that are unreachable or lose their answer, then the write is unavailable or unknown`() {
            tables.fault = TableFault.UNAVAILABLE
            store.writeGroup(listOf(pending("a", "first")))
            tables.fault = TableFault.ANSWER_LOST
            store.writeGroup(listOf(pending("a", "second")))
            assertEquals(ClaimWriteResult.Unavailable, results["first"])
            assertEquals(ClaimWriteResult.Unknown, results["second"])
        }
    }

    @Nested
    inner class Answers {
        @Test
        fun `Given a large answer, then its body is stored as an object and the decoded answer is equal`() {
            val answer = CallAnswer(201, emptyList(), ByteArray(100) { it.toByte() })
            val done = claim("a").copy(state = ClaimState.DONE, answer = answer)
            store.writeGroup(listOf(PendingWrite(ClaimKey("w", "a"), done, 0) { results["a"] = it }))
            assertEquals(answer, stored("a")?.claim?.answer)
            assertEquals(1, objects.contents.size)
        }
    }

    @Nested
    inner class Expiry {
        @Test
        fun `Given claims older and newer than the retention, then only the older ones are deleted`() {
            val cleaner = ClaimCleaner(tables, codec, retentionMs = 1_000)
            store.writeGroup(listOf(pending("old", "first")))
            time.advance(1_500)
            store.writeGroup(listOf(pending("new", "second")))
            assertEquals(1, cleaner.sweep(time.wallMs()))
            assertNull(stored("old"))
            assertNotNull(stored("new"))
            assertTrue(cleaner.sweep(time.wallMs()) == 0)
        }
    }

    private class MapObjectStore : ObjectStore {
        val contents = HashMap<String, ByteArray>()

        override fun put(name: String, content: ByteArray): Either<TableFailure, Unit> =
            Either.Right(Unit).also { contents[name] = content }

        override fun get(name: String): Either<TableFailure, ByteArray?> = Either.Right(contents[name])
    }
}
