package org.medlarhook.systemtest.sidecar

import io.grpc.StatusRuntimeException
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.medlarhook.core.result.ResultCode
import org.medlarhook.harness.Readiness
import org.medlarhook.harness.UpstreamNode
import org.medlarhook.protocol.AttemptState
import org.medlarhook.protocol.RunState
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SidecarProcessTest {
    private companion object {
        const val PAUSE_MS = 2_500L
        lateinit var world: SidecarFleet

        @BeforeAll
        @JvmStatic
        fun start() {
            world = SidecarFleet()
        }

        @AfterAll
        @JvmStatic
        fun stop() {
            world.close()
        }
    }

    private fun StreamResult.await() = assertTrue(ended.get(30, TimeUnit.SECONDS), "broke without a final event")

    private fun assertWhole(result: StreamResult, tokens: IntRange) {
        result.await()
        assertEquals(tokens.toList(), result.indexes)
        assertTrue(result.finished != null, "${result.refusal}")
    }

    private fun assertNotRun(node: UpstreamNode, ids: List<String>) {
        val seen = world.get("${node.backendUrl}/attempts")
        ids.forEach { assertFalse("\"$it\"" in seen, "$it was called not run and reached the engine") }
    }

    @Nested
    inner class Stops {
        @Test
        fun `Given streams that run and wait, when SIGTERM comes, then none is cut and the exit status is 0`() {
            val node = world.engine(slots = 8).also { it.awaitReady() }
            SidecarClient(node).use { client ->
                client.watch()
                val streams = (0 until 12).map { "s$it" to client.generate("s$it", 150) }
                streams.take(8).forEach { it.second.started.get(5, TimeUnit.SECONDS) }
                val stoppedAtNanos = System.nanoTime()
                node.sidecar.requestStop()
                Readiness.until("no draining notice", 1_000) { client.statuses.last().draining }
                val late = client.generate("late", 5)
                streams.take(8).forEach { (_, result) -> assertWhole(result, 0 until 150) }
                (streams.drop(8).map { it.second } + late).forEach { refused ->
                    refused.await()
                    assertEquals(ResultCode.DRAINING.number, refused.refusal?.code)
                    assertEquals(RunState.NOT_RUN, refused.refusal?.runState)
                }
                assertEquals(AttemptState.FINISHED, client.seal("s0").state)
                assertEquals(8, client.receipts().receiptsCount)
                client.receipts(afterSequence = 8)
                assertTrue(node.sidecar.awaitExit(10_000), "still runs")
                assertEquals(0, node.sidecar.exitCode)
                println("stopped after ${(System.nanoTime() - stoppedAtNanos) / 1_000_000} ms")
            }
            assertNotRun(node, listOf("s8", "s9", "s10", "s11", "late"))
        }

        @Test
        fun `Given a sidecar that is paused, then no second one starts, and the streams end whole after the pause`() {
            val node = world.engine().also { it.awaitReady() }
            SidecarClient(node).use { client ->
                val streams = (0 until 4).map { client.generate("s$it", 100) }
                streams.forEach { it.started.get(5, TimeUnit.SECONDS) }
                val incarnation = client.incarnation()
                node.sidecar.pause()
                val second = world.fleet.startSidecarAgain(node)
                assertTrue(second.awaitExit(10_000), "a second sidecar runs")
                assertEquals(1, second.exitCode)
                Thread.sleep(PAUSE_MS)
                node.sidecar.resume()
                streams.forEach { assertWhole(it, 0 until 100) }
                assertEquals(AttemptState.SEALED, client.seal("never-sent", incarnation).state)
                val sealed = client.generate("never-sent", 1)
                sealed.await()
                assertEquals(ResultCode.ATTEMPT_SEALED.number, sealed.refusal?.code)
                assertNotRun(node, listOf("never-sent"))
            }
        }

        @Test
        fun `Given a killed sidecar, when it starts again, then old attempts are undetermined and refused`() {
            val node = world.engine().also { it.awaitReady() }
            val first = SidecarClient(node).use { it.incarnation() }
            node.sidecar.kill()
            val again = world.fleet.startSidecarAgain(node)
            node.awaitReady()
            SidecarClient(node).use { client ->
                assertEquals(first + 1, client.incarnation())
                assertEquals(AttemptState.UNDETERMINED, client.seal("old", first).state)
                val late = client.generate("old", 5) { incarnation = first }
                late.await()
                assertEquals(ResultCode.WRONG_INCARNATION.number, late.refusal?.code)
            }
            assertTrue(again.terminate(), "still runs")
        }
    }

    @Nested
    inner class Memory {
        @Test
        fun `Given a nearly full memory for attempts, then a new incarnation is taken and no stream is cut`() {
            val node = world.engine(maxForgottenAttempts = 1_000).also { it.awaitReady() }
            SidecarClient(node).use { client ->
                val first = client.incarnation()
                val running = client.generate("running", 1_000)
                running.started.get(5, TimeUnit.SECONDS)
                repeat(4_500) { client.seal("sealed-$it", first) }
                Readiness.until("no new incarnation", 9_000) { client.incarnation() == first + 1 }
                assertEquals(AttemptState.RUNNING, client.seal("running", first).state)
                assertWhole(client.generate("new", 5), 0 until 5)
                assertWhole(running, 0 until 1_000)
                val late = client.generate("sealed-1", 5) { incarnation = first }
                late.await()
                assertEquals(ResultCode.DUPLICATE_ATTEMPT.number, late.refusal?.code)
                assertNotRun(node, listOf("sealed-1"))
            }
        }
    }

    @Nested
    inner class Tables {
        @Test
        fun `Given tables that do not answer, then a new sidecar waits, and a registered one serves`() {
            val registered = world.engine().also { it.awaitReady() }
            val starting = world.engine().also { it.awaitReady() }
            starting.sidecar.kill()
            world.fleet.platform.pause()
            try {
                world.fleet.startSidecarAgain(starting)
                SidecarClient(registered).use { assertWhole(it.generate("a", 10), 0 until 10) }
                SidecarClient(starting).use { assertRefusesUnregistered(it) }
            } finally {
                world.fleet.platform.resume()
            }
            starting.awaitReady()
            SidecarClient(starting).use { assertWhole(it.generate("c", 10), 0 until 10) }
        }

        private fun assertRefusesUnregistered(client: SidecarClient) {
            Readiness.until("the port is not bound") { runCatching { client.incarnation() }.getOrNull() == 0L }
            val early = client.generate("b", 10)
            early.await()
            assertEquals(RunState.NOT_RUN, early.refusal?.runState)
        }
    }

    @Nested
    inner class Engines {
        @Test
        fun `Given an engine that goes silent, then streams fail in time, and it is used again once it answers`() {
            val node = world.engine().also { it.awaitReady() }
            SidecarClient(node).use { client ->
                client.watch()
                val cut = client.generate("cut", 500)
                Readiness.until("no tokens") { cut.indexes.isNotEmpty() }
                world.post("${node.backendUrl}/faults", """{"hang":true}""")
                Readiness.until("still accepting", 3_000) { !client.statuses.last().accepting }
                val refused = client.generate("refused", 5)
                refused.await()
                assertEquals(RunState.NOT_RUN, refused.refusal?.runState)
                cut.await()
                assertEquals(ResultCode.UPSTREAM_FAILED.number, cut.refusal?.code)
                assertEquals(RunState.RUN, cut.refusal?.runState)
                world.post("${node.backendUrl}/faults", "{}")
                Readiness.until("not accepting again", 3_000) { client.statuses.last().accepting }
                assertWhole(client.generate("again", 5), 0 until 5)
                assertNotRun(node, listOf("refused"))
            }
        }

        @Test
        fun `Given an engine that crashes, when the stream goes on elsewhere, then it is whole and billed once`() {
            val first = world.engine().also { it.awaitReady() }
            val second = world.engine().also { it.awaitReady() }
            SidecarClient(first).use { one ->
                SidecarClient(second).use { two ->
                    val whole = two.generate("whole", 100).also { assertWhole(it, 0 until 100) }
                    val cut = one.generate("cut", 100)
                    Readiness.until("no tokens") { cut.indexes.size > 20 }
                    runCatching { world.post("${first.backendUrl}/faults", """{"crash":true}""") }
                    cut.await()
                    assertEquals(RunState.RUN, cut.refusal?.runState)
                    val rest = two.generate("rest", 100) { resumeFromToken = cut.indexes.size }
                    assertWhole(rest, cut.indexes.size until 100)
                    assertEquals(whole.texts, cut.texts + rest.texts)
                    val bills =
                        one.receipts().receiptsList + two.receipts().receiptsList.filter { it.attemptId == "rest" }
                    assertEquals(100, bills.sumOf { it.outputTokens })
                    assertEquals(10, bills.sumOf { it.promptTokens })
                }
            }
        }

        @Test
        fun `Given a prompt that is prefilled elsewhere, then the text is the same and its cost is paid there`() {
            val prefill = world.engine().also { it.awaitReady() }
            val decode = world.engine().also { it.awaitReady() }
            SidecarClient(prefill).use { one ->
                SidecarClient(decode).use { two ->
                    val whole = one.generate("whole", 20).also { assertWhole(it, 0 until 20) }
                    val filled = one.generate("filled", 20) { prefillOnly = true }
                    assertWhole(filled, IntRange.EMPTY)
                    val decoded =
                        two.generate("decoded", 20) {
                            kvHandle = filled.finished!!.kvHandle
                            kvSource = prefill.backendUrl
                        }
                    assertWhole(decoded, 0 until 20)
                    assertEquals(whole.texts, decoded.texts)
                    assertTrue("\"prefilledTokens\":0" in world.get("${decode.backendUrl}/stats"))
                    assertEquals(0, filled.finished!!.receipt.promptTokens)
                    assertEquals(10, decoded.finished!!.receipt.promptTokens)
                }
            }
        }

        @Test
        fun `Given lines of other attempts within the streams, then each stream holds its own tokens only`() {
            val node = world.engine().also { it.awaitReady() }
            SidecarClient(node).use { client ->
                val plain = (0 until 4).map { n -> client.generate("p$n", 50) { prompt = "prompt $n" } }
                plain.forEach { assertWhole(it, 0 until 50) }
                world.post("${node.backendUrl}/faults", """{"crossLines":true}""")
                val crossed = (0 until 4).map { n -> client.generate("x$n", 50) { prompt = "prompt $n" } }
                crossed.forEach { assertWhole(it, 0 until 50) }
                assertEquals(plain.map { it.texts }, crossed.map { it.texts })
            }
        }

        @Test
        fun `Given a busy slot, then work that can't be ready in time is refused at once and never runs`() {
            val node = world.engine(slots = 1).also { it.awaitReady() }
            SidecarClient(node).use { client ->
                val long = client.generate("long", 200)
                long.started.get(5, TimeUnit.SECONDS)
                val startedNanos = System.nanoTime()
                val refused = client.generate("refused", 50) { remainingMs = 1_000 }
                refused.await()
                assertTrue(System.nanoTime() - startedNanos < 500_000_000, "the refusal was held back")
                assertEquals(ResultCode.DEADLINE_UNREACHABLE.number, refused.refusal?.code)
                assertTrue(refused.refusal!!.retryAfterMs in 500..3_000, "${refused.refusal}")
                assertWhole(long, 0 until 200)
                assertNotRun(node, listOf("refused"))
            }
        }
    }

    @Nested
    inner class Services {
        private fun executions(node: UpstreamNode) = world.get("${node.backendUrl}/executions")

        @Test
        fun `Given a connection that drops, then the run state is honest and nothing is sent twice`() {
            val node = world.service().also { it.awaitReady() }
            SidecarClient(node).use { client ->
                listOf("dropAfter", "dropBefore", "retryAtOnce").forEach { fault ->
                    world.post("${node.backendUrl}/faults", """{"$fault":true}""")
                    val answer = client.call(fault, """{"id":"$fault"}""")
                    if (fault == "retryAtOnce") {
                        assertEquals(503, answer.response.status)
                    } else {
                        assertEquals(RunState.UNKNOWN, answer.refusal.runState)
                    }
                }
                assertEquals("""{"dropAfter":1,"retryAtOnce":1}""", executions(node).sorted())
            }
        }

        private fun String.sorted() = removeSurrounding("{", "}").split(',').sorted().joinToString(",", "{", "}")

        @Test
        fun `Given a caller that leaves, then the booking runs on and a seal returns its answer`() {
            val node = world.service().also { it.awaitReady() }
            SidecarClient(node).use { client ->
                world.post("${node.backendUrl}/faults", """{"delayAfterMs":800}""")
                assertFailsWith<StatusRuntimeException> {
                    client.call("left", """{"id":"left"}""") { remainingMs = 300 }
                }
                Readiness.until("not finished", 5_000) { client.seal("left").state == AttemptState.FINISHED }
                val answer = client.seal("left").answer
                assertTrue(answer.hasResponse() || answer.refusal.runState == RunState.UNKNOWN, "$answer")
                assertEquals("""{"left":1}""", executions(node))
            }
        }

        @Test
        fun `Given a service that is gone, then a call is truly not run`() {
            val node = world.service().also { it.awaitReady() }
            SidecarClient(node).use { client ->
                node.backend.kill()
                assertEquals(RunState.NOT_RUN, client.call("gone", "{}").refusal.runState)
            }
        }
    }
}
