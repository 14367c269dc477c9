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

/**
 * Guards against streams that are cut or duplicated and against wrong run states, when sidecar, engine, service or
 * platform processes are stopped, paused or killed. The attempt log of the engine stand-in proves what has run.
 */
class SidecarProcessTest {
    private companion object {
        const val PAUSE_MS = 2_500L
        lateinit var testbed: SidecarFleet

        @BeforeAll
        @JvmStatic
        fun start() {
            testbed = SidecarFleet()
        }

        @AfterAll
        @JvmStatic
        fun stop() {
            testbed.close()
        }
    }

    private fun StreamResult.await() = assertTrue(ended.get(30, TimeUnit.SECONDS), "stream without a final event")

    private fun assertComplete(result: StreamResult, tokens: IntRange) {
        result.await()
        assertEquals(tokens.toList(), result.indexes)
        assertTrue(result.finished != null, "${result.refusal}")
    }

    private fun assertNotRun(node: UpstreamNode, ids: List<String>) {
        val received = testbed.get("${node.backendUrl}/attempts")
        ids.forEach { assertFalse("\"$it\"" in received, "$it was reported as not run, but reached the engine") }
    }

    @Nested
    inner class StopsAndPauses {
        @Test
        fun `Given running and queued streams, when SIGTERM arrives, then no stream is cut and the exit status is 0`() {
            val node = testbed.engine(slots = 8).also { it.awaitReady() }
            SidecarClient(node).use { client ->
                client.watch()
                val streams = (0 until 12).map { "s$it" to client.generate("s$it", 150) }
                streams.take(8).forEach { it.second.started.get(5, TimeUnit.SECONDS) }
                val stoppedAtNanos = System.nanoTime()
                node.sidecar.requestStop()
                Readiness.until("last status not draining", 1_000) { client.statuses.last().draining }
                val late = client.generate("late", 5)
                streams.take(8).forEach { (_, result) -> assertComplete(result, 0 until 150) }
                (streams.drop(8).map { it.second } + late).forEach { refused ->
                    refused.await()
                    assertEquals(ResultCode.DRAINING.number, refused.refusal?.code)
                    assertEquals(RunState.NOT_RUN, refused.refusal?.runState)
                }
                assertEquals(AttemptState.FINISHED, client.seal("s0").state)
                assertEquals(8, client.receipts().receiptsCount)
                client.receipts(afterSequence = 8)
                assertTrue(node.sidecar.awaitExit(10_000), "the sidecar is still running")
                assertEquals(0, node.sidecar.exitCode)
                println("stopped after ${(System.nanoTime() - stoppedAtNanos) / 1_000_000} ms")
            }
            assertNotRun(node, listOf("s8", "s9", "s10", "s11", "late"))
        }

        @Test
        fun `Given a paused sidecar, then no second one starts, and the streams complete after the pause`() {
            val node = testbed.engine().also { it.awaitReady() }
            SidecarClient(node).use { client ->
                val streams = (0 until 4).map { client.generate("s$it", 100) }
                streams.forEach { it.started.get(5, TimeUnit.SECONDS) }
                val incarnation = client.incarnation()
                node.sidecar.pause()
                val second = testbed.fleet.startSidecarAgain(node)
                assertTrue(second.awaitExit(10_000), "a second sidecar process is running")
                assertEquals(1, second.exitCode)
                Thread.sleep(PAUSE_MS)
                node.sidecar.resume()
                streams.forEach { assertComplete(it, 0 until 100) }
                assertEquals(AttemptState.SEALED, client.seal("never-sent", incarnation).state)
                val sealed = client.generate("never-sent", 1)
                sealed.await()
                assertEquals(ResultCode.ATTEMPT_SEALED.number, sealed.refusal?.code)
                assertNotRun(node, listOf("never-sent"))
            }
        }

        @Test
        fun `Given a killed sidecar, when it starts again, then old attempts are undetermined and refused`() {
            val node = testbed.engine().also { it.awaitReady() }
            val first = SidecarClient(node).use { it.incarnation() }
            node.sidecar.kill()
            val again = testbed.fleet.startSidecarAgain(node)
            node.awaitReady()
            SidecarClient(node).use { client ->
                assertEquals(first + 1, client.incarnation())
                assertEquals(AttemptState.UNDETERMINED, client.seal("old", first).state)
                val late = client.generate("old", 5) { incarnation = first }
                late.await()
                assertEquals(ResultCode.WRONG_INCARNATION.number, late.refusal?.code)
            }
            assertTrue(again.terminate(), "the sidecar is still running")
        }
    }

    @Nested
    inner class AttemptTable {
        @Test
        fun `Given a nearly full attempt table, then the sidecar starts a new incarnation and cuts no stream`() {
            val node = testbed.engine(maxForgottenAttempts = 1_000).also { it.awaitReady() }
            SidecarClient(node).use { client ->
                val first = client.incarnation()
                val running = client.generate("running", 1_000)
                running.started.get(5, TimeUnit.SECONDS)
                repeat(4_500) { client.seal("sealed-$it", first) }
                Readiness.until("no new incarnation", 9_000) { client.incarnation() == first + 1 }
                assertEquals(AttemptState.RUNNING, client.seal("running", first).state)
                assertComplete(client.generate("new", 5), 0 until 5)
                assertComplete(running, 0 until 1_000)
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
        fun `Given tables that do not answer, then a starting sidecar waits, and a registered one serves`() {
            val registered = testbed.engine().also { it.awaitReady() }
            val starting = testbed.engine().also { it.awaitReady() }
            starting.sidecar.kill()
            testbed.fleet.platform.pause()
            try {
                testbed.fleet.startSidecarAgain(starting)
                SidecarClient(registered).use { assertComplete(it.generate("a", 10), 0 until 10) }
                SidecarClient(starting).use { assertRefusesUnregistered(it) }
            } finally {
                testbed.fleet.platform.resume()
            }
            starting.awaitReady()
            SidecarClient(starting).use { assertComplete(it.generate("c", 10), 0 until 10) }
        }

        private fun assertRefusesUnregistered(client: SidecarClient) {
            Readiness.until("no answer from the sidecar") { runCatching { client.incarnation() }.getOrNull() == 0L }
            val early = client.generate("b", 10)
            early.await()
            assertEquals(RunState.NOT_RUN, early.refusal?.runState)
        }
    }

    @Nested
    inner class Engines {
        @Test
        fun `Given an engine that stops answering, then its streams time out, and it is used again once it answers`() {
            val node = testbed.engine().also { it.awaitReady() }
            SidecarClient(node).use { client ->
                client.watch()
                val interrupted = client.generate("cut", 500)
                Readiness.until("no tokens received") { interrupted.indexes.isNotEmpty() }
                testbed.post("${node.backendUrl}/faults", """{"hang":true}""")
                Readiness.until("last status still accepting", 3_000) { !client.statuses.last().accepting }
                val refused = client.generate("refused", 5)
                refused.await()
                assertEquals(RunState.NOT_RUN, refused.refusal?.runState)
                interrupted.await()
                assertEquals(ResultCode.UPSTREAM_FAILED.number, interrupted.refusal?.code)
                assertEquals(RunState.RUN, interrupted.refusal?.runState)
                testbed.post("${node.backendUrl}/faults", "{}")
                Readiness.until("last status not accepting", 3_000) { client.statuses.last().accepting }
                assertComplete(client.generate("again", 5), 0 until 5)
                assertNotRun(node, listOf("refused"))
            }
        }

        @Test
        fun `Given an engine crash, when the stream resumes on another engine, then it is complete and billed once`() {
            val first = testbed.engine().also { it.awaitReady() }
            val second = testbed.engine().also { it.awaitReady() }
            SidecarClient(first).use { one ->
                SidecarClient(second).use { two ->
                    val reference = two.generate("whole", 100).also { assertComplete(it, 0 until 100) }
                    val interrupted = one.generate("cut", 100)
                    Readiness.until("no tokens received") { interrupted.indexes.size > 20 }
                    runCatching { testbed.post("${first.backendUrl}/faults", """{"crash":true}""") }
                    interrupted.await()
                    assertEquals(RunState.RUN, interrupted.refusal?.runState)
                    val rest = two.generate("rest", 100) { resumeFromToken = interrupted.indexes.size }
                    assertComplete(rest, interrupted.indexes.size until 100)
                    assertEquals(reference.texts, interrupted.texts + rest.texts)
                    val engineReceipts =
                        one.receipts().receiptsList + two.receipts().receiptsList.filter { it.attemptId == "rest" }
                    assertEquals(100, engineReceipts.sumOf { it.outputTokens })
                    assertEquals(10, engineReceipts.sumOf { it.promptTokens })
                }
            }
        }

        @Test
        fun `Given a prompt prefilled on another engine, then the text is the same and nothing is prefilled again`() {
            val prefill = testbed.engine().also { it.awaitReady() }
            val decode = testbed.engine().also { it.awaitReady() }
            SidecarClient(prefill).use { one ->
                SidecarClient(decode).use { two ->
                    val reference = one.generate("whole", 20).also { assertComplete(it, 0 until 20) }
                    val prefilled = one.generate("filled", 20) { prefillOnly = true }
                    assertComplete(prefilled, IntRange.EMPTY)
                    val decoded =
                        two.generate("decoded", 20) {
                            kvHandle = prefilled.finished!!.kvHandle
                            kvSource = prefill.backendUrl
                        }
                    assertComplete(decoded, 0 until 20)
                    assertEquals(reference.texts, decoded.texts)
                    assertTrue("\"prefilledTokens\":0" in testbed.get("${decode.backendUrl}/stats"))
                    assertEquals(0, prefilled.finished!!.receipt.promptTokens)
                    assertEquals(10, decoded.finished!!.receipt.promptTokens)
                }
            }
        }

        @Test
        fun `Given lines of other attempts within the streams, then each stream has only its own tokens`() {
            val node = testbed.engine().also { it.awaitReady() }
            SidecarClient(node).use { client ->
                val plain = (0 until 4).map { n -> client.generate("p$n", 50) { prompt = "prompt $n" } }
                plain.forEach { assertComplete(it, 0 until 50) }
                testbed.post("${node.backendUrl}/faults", """{"crossLines":true}""")
                val crossed = (0 until 4).map { n -> client.generate("x$n", 50) { prompt = "prompt $n" } }
                crossed.forEach { assertComplete(it, 0 until 50) }
                assertEquals(plain.map { it.texts }, crossed.map { it.texts })
            }
        }

        @Test
        fun `Given a busy slot, then work that can't meet its deadline is refused at once and never runs`() {
            val node = testbed.engine(slots = 1).also { it.awaitReady() }
            SidecarClient(node).use { client ->
                val long = client.generate("long", 200)
                long.started.get(5, TimeUnit.SECONDS)
                val startedNanos = System.nanoTime()
                val refused = client.generate("refused", 50) { remainingMs = 1_000 }
                refused.await()
                assertTrue(System.nanoTime() - startedNanos < 500_000_000, "the refusal took 500 ms or more")
                assertEquals(ResultCode.DEADLINE_UNREACHABLE.number, refused.refusal?.code)
                assertTrue(refused.refusal!!.retryAfterMs in 500..3_000, "${refused.refusal}")
                assertComplete(long, 0 until 200)
                assertNotRun(node, listOf("refused"))
            }
        }
    }

    @Nested
    inner class Services {
        private fun executions(node: UpstreamNode) = testbed.get("${node.backendUrl}/executions")

        @Test
        fun `Given a dropped connection, then the run state is unknown and no call is sent twice`() {
            val node = testbed.service().also { it.awaitReady() }
            SidecarClient(node).use { client ->
                listOf("dropAfter", "dropBefore", "retryAtOnce").forEach { fault ->
                    testbed.post("${node.backendUrl}/faults", """{"$fault":true}""")
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
        fun `Given a caller that disconnects, then the booking completes and a seal returns its answer`() {
            val node = testbed.service().also { it.awaitReady() }
            SidecarClient(node).use { client ->
                testbed.post("${node.backendUrl}/faults", """{"delayAfterMs":800}""")
                assertFailsWith<StatusRuntimeException> {
                    client.call("left", """{"id":"left"}""") { remainingMs = 300 }
                }
                Readiness.until("booking not finished", 5_000) { client.seal("left").state == AttemptState.FINISHED }
                val answer = client.seal("left").answer
                assertTrue(answer.hasResponse() || answer.refusal.runState == RunState.UNKNOWN, "$answer")
                assertEquals("""{"left":1}""", executions(node))
            }
        }

        @Test
        fun `Given a killed service, then a call to it is reported as not run`() {
            val node = testbed.service().also { it.awaitReady() }
            SidecarClient(node).use { client ->
                node.backend.kill()
                assertEquals(RunState.NOT_RUN, client.call("gone", "{}").refusal.runState)
            }
        }
    }
}
