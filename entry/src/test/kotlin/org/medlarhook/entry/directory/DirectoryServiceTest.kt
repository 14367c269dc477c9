package org.medlarhook.entry.directory

import arrow.core.Either
import arrow.core.right
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.junit.jupiter.api.AfterEach
import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.directory.DirectoryEntity
import org.medlarhook.core.directory.Workspace
import org.medlarhook.core.key.KeyIssuer
import org.medlarhook.core.result.ResultCode
import org.medlarhook.fakes.FaultyTableService
import org.medlarhook.fakes.InMemoryTableService
import org.medlarhook.fakes.TableFault
import org.medlarhook.ports.ListedVm
import org.medlarhook.ports.ObjectStore
import org.medlarhook.ports.SystemTimeSource
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.VmDirectory
import org.medlarhook.runtime.settings.EntrySettings
import org.medlarhook.runtime.settings.ListenAddress
import org.medlarhook.runtime.settings.PlatformSettings
import org.medlarhook.runtime.traffic.ControlTraffic
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The directories of three entries, which exchange digests over real connections and in real time. */
class DirectoryServiceTest {
    private val tables = InMemoryTableService()
    private val nodes = List(3) { Node(it) }
    private val issued = KeyIssuer().issue("acme")

    private inner class Node(
        number: Int,
    ) {
        val tables = FaultyTableService(this@DirectoryServiceTest.tables)
        private val port = ServerSocket(0).use { it.localPort }
        private val address = ListenAddress(port = port)
        private val settings =
            EntrySettings(
                "e$number",
                "vm$number",
                "dc",
                "r",
                address,
                address,
                address,
                PlatformSettings("http://127.0.0.1"),
            )
        private val traffic = ControlTraffic(SimpleMeterRegistry())
        val service = DirectoryService(settings, tables, NoObjects, NoVms, SystemTimeSource, traffic) { null }

        fun outcome(): ResultCode? =
            service.view.authenticate(issued.text, SystemTimeSource.monotonicMs()).leftOrNull()?.code

        fun append(vararg puts: DirectoryEntity): Either<Any, Long> {
            val version = service.view.version + 1
            return service.appender.append(
                DirectoryChange(version, "ana", 0, puts = puts.toList(), nonce = "n$version"),
            )
        }
    }

    private object NoObjects : ObjectStore {
        override fun put(name: String, content: ByteArray): Either<TableFailure, Unit> = Unit.right()

        override fun get(name: String): Either<TableFailure, ByteArray?> = null.right()
    }

    private object NoVms : VmDirectory {
        override fun list(): Either<TableFailure, List<ListedVm>> = emptyList<ListedVm>().right()
    }

    private fun waitUntil(limitMs: Long, condition: () -> Boolean): Long {
        val startMs = SystemTimeSource.monotonicMs()
        while (!condition()) {
            val waitedMs = SystemTimeSource.monotonicMs() - startMs
            assertTrue(waitedMs < limitMs, "the condition was not met within $limitMs ms")
            Thread.sleep(POLL_MS)
        }
        return SystemTimeSource.monotonicMs() - startMs
    }

    @AfterEach
    fun stop() = nodes.forEach { it.service.stop() }

    @Test
    fun `Given three entries, then keys are granted, served in an outage and withdrawn within the bound everywhere`() {
        val (writer, second, cutOff) = nodes
        nodes.forEach { it.service.start() }
        waitUntil(START_MS) { writer.append(Workspace("acme"), issued.grant).isRight() }
        waitUntil(IN_FORCE_MS) { nodes.all { it.outcome() == null } }

        cutOff.tables.fault = TableFault.UNAVAILABLE
        Thread.sleep(BOUND_MS)
        assertEquals(null, cutOff.outcome(), "an entry without tables continues to serve through its peers")
        assertTrue(writer.append(issued.grant.copy(withdrawn = true)).isRight())
        val withdrawnMs = waitUntil(BOUND_MS) { nodes.all { it.outcome() == ResultCode.KEY_INVALID } }
        val version = writer.service.view.version
        val knownMs =
            waitUntil(BOUND_MS) { writer.service.inForceCheck.check(version, SystemTimeSource.monotonicMs()).inForce }
        println("the withdrawal was reported in force $knownMs ms later")
        println("the key was refused at all three entries, one without tables, after $withdrawnMs ms")

        writer.service.stop()
        second.service.stop()
        val refusedMs = waitUntil(BOUND_MS) { cutOff.outcome() == ResultCode.AUTHORITY_UNCERTAIN }
        println("an entry without tables and peers refused keys after $refusedMs ms")
        assertEquals(1, tables.scan(TableNames.ENTRY).getOrNull()?.size, "entries that stopped deleted their rows")
    }

    private companion object {
        const val POLL_MS = 20L
        const val START_MS = 20_000L
        const val IN_FORCE_MS = 14_000L
        const val BOUND_MS = 5_000L
    }
}
