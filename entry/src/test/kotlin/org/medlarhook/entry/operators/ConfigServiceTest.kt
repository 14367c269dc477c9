package org.medlarhook.entry.operators

import arrow.core.Either
import arrow.core.right
import org.junit.jupiter.api.Nested
import org.medlarhook.core.directory.DirectoryLog
import org.medlarhook.core.directory.DirectoryReader
import org.medlarhook.core.directory.Workspace
import org.medlarhook.core.result.ResultCode
import org.medlarhook.fakes.FaultyTableService
import org.medlarhook.fakes.InMemoryTableService
import org.medlarhook.fakes.TableFault
import org.medlarhook.ports.ObjectStore
import org.medlarhook.ports.TableFailure
import org.medlarhook.runtime.operators.api.ChangeRequest
import org.medlarhook.runtime.operators.api.KeyAnswer
import org.medlarhook.runtime.operators.api.KeyRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class ConfigServiceTest {
    private val tables = FaultyTableService(InMemoryTableService())
    private val service = newService()

    private fun newService() =
        ConfigService(DirectoryLog(tables), LatestDirectory(DirectoryReader(tables, NoObjects)))

    private fun change(version: Long, workspace: String, nonce: String = workspace) =
        ChangeRequest(version, author = "ana", puts = listOf(Workspace(workspace)), nonce = nonce)

    private fun failure(result: Either<OperatorsFailure, Any>) = assertIs<Either.Left<OperatorsFailure>>(result).value

    @Nested
    inner class Changes {
        @Test
        fun `Given a change that another operator made first, then the conflict shows that change`() {
            service.change(change(0, "a"), NOW_MS)
            val failure = failure(newService().change(change(0, "b"), NOW_MS))
            assertEquals(ResultCode.CONFIG_CONFLICT, failure.code)
            assertEquals(listOf("a"), failure.changes.flatMap { it.puts }.map { it.name })
        }

        @Test
        fun `Given an invalid change, then nothing is written and every error is listed`() {
            val bad = change(
                0,
                "a",
            ).copy(puts = listOf(Workspace("a", weight = 0), Workspace("b", models = listOf("m"))))
            val failure = failure(service.change(bad, NOW_MS))
            assertEquals(ResultCode.CONFIG_INVALID, failure.code)
            assertEquals(2, failure.errors.size)
            assertEquals(0L, service.state().getOrNull()?.version)
        }

        @Test
        fun `Given unreachable tables, then a change fails as not made`() {
            tables.fault = TableFault.UNAVAILABLE
            assertEquals(ResultCode.PLATFORM_UNAVAILABLE, failure(service.change(change(0, "a"), NOW_MS)).code)
        }
    }

    @Nested
    inner class Keys {
        @Test
        fun `Given a granted key, then withdrawing it twice makes one change`() {
            service.change(change(0, "a"), NOW_MS)
            val key = assertIs<Either.Right<KeyAnswer>>(service.grantKey(KeyRequest("a", "ana"), NOW_MS)).value
            assertEquals(2L, key.version)
            assertEquals(3L.right(), service.withdrawKey(key.keyId, "ana", NOW_MS))
            assertEquals(3L.right(), service.withdrawKey(key.keyId, "ana", NOW_MS))
            assertTrue(assertIs<Either.Right<*>>(service.state()).value.toString().contains("withdrawn=true"))
        }
    }

    private object NoObjects : ObjectStore {
        override fun put(name: String, content: ByteArray): Either<TableFailure, Unit> = Unit.right()

        override fun get(name: String): Either<TableFailure, ByteArray?> = null.right()
    }

    private companion object {
        const val NOW_MS = 1_700_000_000_000
    }
}
