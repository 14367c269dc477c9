package org.medlarhook.entry.http

import io.grpc.stub.ServerCallStreamObserver
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.medlarhook.core.directory.Workspace
import org.medlarhook.core.result.ResultCode
import org.medlarhook.entry.FakeSidecarServer
import org.medlarhook.entry.TestEntry
import org.medlarhook.entry.TestEntry.Companion.KEY
import org.medlarhook.entry.TestEntry.Companion.MESSAGES
import org.medlarhook.entry.TestEntry.Companion.await
import org.medlarhook.fakes.InMemoryTableService
import org.medlarhook.fakes.TableFault
import org.medlarhook.protocol.AttemptState
import org.medlarhook.protocol.GenerateEvent
import org.medlarhook.protocol.GenerateRequest
import org.medlarhook.protocol.Refusal
import org.medlarhook.protocol.RunState
import org.medlarhook.protocol.SealAnswer
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.runtime.settings.CallSettings
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Requests over HTTP through the whole pipeline of an entry, with sidecars that the tests script. */
class CallersListenerTest {
    private val memory = InMemoryTableService()
    private val entry = TestEntry(memory)
    private val sidecar = FakeSidecarServer()
    private val secondSidecar = FakeSidecarServer()

    @AfterEach
    fun close() {
        sidecar.close()
        secondSidecar.close()
        entry.close()
    }

    private fun connected() = entry.also { it.register("upstream-1", sidecar) }

    private fun book(key: String?, body: String = "{}", at: TestEntry = entry) =
        at.send(
            "POST",
            "/services/desk/bookings",
            body,
            headers = key?.let {
                mapOf("Idempotency-Key" to it)
            }.orEmpty(),
        )

    private fun refusal(code: ResultCode, run: RunState): Refusal =
        Refusal
            .newBuilder()
            .setCode(code.number)
            .setRunState(run)
            .build()

    @Nested
    inner class Generations {
        @Test
        fun `Given a request without streaming, then the answer has the whole text and the usage`() {
            val answer = connected().chat(""","max_tokens":3""")
            assertEquals(200, answer.status, answer.body)
            assertContains(answer.body, """"content":"t0 t1 t2 """")
            assertContains(answer.body, """"completion_tokens":3""")
        }

        @Test
        fun `Given a stream, then the text is complete and the DONE marker is last`() {
            val answer = connected().chat(""","max_tokens":5,"stream":true,"stream_options":{"include_usage":true}""")
            assertEquals("text/event-stream", answer.headers["content-type"]?.first()?.substringBefore(';'))
            assertEquals("t0 t1 t2 t3 t4 ", textOf(answer.body))
            assertTrue(answer.body.endsWith("data: [DONE]\n\n"))
        }

        @Test
        fun `Given an upstream that fails during a stream, then another one resumes after the last token received`() {
            connected().register("upstream-2", secondSidecar)
            val isFirst = AtomicBoolean(true)
            val normal = secondSidecar.onGenerate
            val breaking: (GenerateRequest, ServerCallStreamObserver<GenerateEvent>) -> Unit = { request, events ->
                if (isFirst.getAndSet(false)) {
                    repeat(2) { events.onNext(FakeSidecarServer.token(it)) }
                    events.onError(IllegalStateException("crash"))
                } else {
                    normal(request, events)
                }
            }
            listOf(sidecar, secondSidecar).forEach { it.onGenerate = breaking }
            val answer = entry.chat(""","max_tokens":4,"stream":true""")
            assertEquals("t0 t1 t2 t3 ", textOf(answer.body))
            assertTrue(answer.body.endsWith("data: [DONE]\n\n"))
            assertEquals(
                setOf(0, 2),
                (sidecar.generations + secondSidecar.generations).map { it.resumeFromToken }.toSet(),
            )
        }

        @Test
        fun `Given a failed upstream and no other, then the stream ends with an error event and no DONE marker`() {
            connected()
            sidecar.onGenerate = { _, events ->
                events.onNext(FakeSidecarServer.token(0))
                events.onError(IllegalStateException("crash"))
            }
            val answer = entry.chat(""","max_tokens":4,"stream":true""")
            assertFalse("[DONE]" in answer.body)
            assertEquals(ResultCode.UPSTREAM_FAILED.number, answer.code)
            assertEquals("run", answer.run)
        }

        @Test
        fun `Given a stream that skips a token index, then the text stops there and no DONE marker follows`() {
            connected()
            sidecar.onGenerate = { _, events ->
                events.onNext(FakeSidecarServer.token(0))
                events.onNext(FakeSidecarServer.token(2))
                events.onNext(FakeSidecarServer.finished())
            }
            val answer = entry.chat(""","max_tokens":3,"stream":true""")
            assertEquals("t0 ", textOf(answer.body))
            assertFalse("[DONE]" in answer.body)
        }

        @Test
        fun `Given a caller that disconnects, then the upstream's generation is cancelled`() {
            connected()
            val isCancelled = AtomicBoolean()
            sidecar.onGenerate = { _, events ->
                var index = 0
                while (!events.isCancelled) {
                    events.onNext(FakeSidecarServer.token(index++))
                    Thread.sleep(5)
                }
                isCancelled.set(true)
            }
            Socket("127.0.0.1", entry.pipeline.port).use { socket ->
                val body = """{"model":"lamp",$MESSAGES,"max_tokens":100000,"stream":true}"""
                val head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer $KEY\r\n"
                socket.getOutputStream().write("${head}Content-Length: ${body.length}\r\n\r\n$body".encodeToByteArray())
                socket.getInputStream().read(ByteArray(100))
            }
            await("the generation was not cancelled within 10 s") { isCancelled.get() }
            await("the request was still open after 10 s") { entry.pipeline.openRequests.count == 0 }
        }

        @Test
        fun `Given a key withdrawn during a stream, then the stream ends with its error code and no DONE marker`() {
            connected()
            sidecar.onGenerate = { _, events ->
                var index = 0
                while (!events.isCancelled) {
                    events.onNext(FakeSidecarServer.token(index++))
                    if (index == 3) entry.directory.keys.remove(KEY)
                    Thread.sleep(10)
                }
            }
            val answer = entry.chat(""","max_tokens":100000,"stream":true""")
            assertEquals(ResultCode.KEY_WITHDRAWN_DURING_REQUEST.number, answer.code)
            assertFalse("[DONE]" in answer.body)
        }

        private fun textOf(stream: String) =
            Regex(""""content":"([^"]*)"""").findAll(stream).joinToString("") { it.groupValues[1] }
    }

    @Nested
    inner class Bookings {
        @Test
        fun `Given the same idempotency key at two entries, then the call runs once and both get the same answer`() {
            connected()
            val other = TestEntry(memory).also { it.register("upstream-1", sidecar) }
            val first = book("k1")
            val second = book("k1", at = other)
            other.close()
            assertEquals(listOf(201, 201), listOf(first.status, second.status), second.body)
            assertEquals(first.body, second.body)
            assertEquals("true", second.headers["idempotency-replayed"]?.single())
            assertEquals(1, sidecar.calls.size)
            assertEquals(ResultCode.IDEMPOTENCY_KEY_REUSED.number, book("k1", """{"other":1}""").code)
        }

        @Test
        fun `Given a booking in progress, then another call with its key is refused with a retry delay`() {
            connected()
            val mayFinish = CountDownLatch(1)
            sidecar.onCall = { _, answers ->
                Thread {
                    mayFinish.await()
                    answers.onNext(FakeSidecarServer.booked("late"))
                    answers.onCompleted()
                }.start()
            }
            sidecar.sealAnswer = SealAnswer.newBuilder().setState(AttemptState.RUNNING).build()
            val first = CompletableFuture.supplyAsync { book("k2") }
            await("the sidecar was not called within 10 s") { sidecar.calls.size == 1 }
            val second = book("k2")
            assertEquals(ResultCode.IDEMPOTENCY_IN_PROGRESS.number, second.code)
            assertTrue("retry-after" in second.headers)
            mayFinish.countDown()
            assertEquals("late", first.get(5, TimeUnit.SECONDS).body)
        }

        @Test
        fun `Given a refusal with run state not-run, then the same key can be used again`() {
            connected()
            sidecar.onCall = { _, answers ->
                val refusal = refusal(ResultCode.DEADLINE_UNREACHABLE, RunState.NOT_RUN)
                answers.onNext(ServiceAnswer.newBuilder().setRefusal(refusal).build())
                answers.onCompleted()
            }
            assertEquals("not-run", book("k3").run)
            sidecar.onCall = { _, answers ->
                answers.onNext(FakeSidecarServer.booked("now"))
                answers.onCompleted()
            }
            assertEquals("now", book("k3").body)
        }

        @Test
        fun `Given a lost answer, then the sidecar is asked for the outcome and the call is not sent again`() {
            connected()
            sidecar.onCall = { _, answers -> answers.onError(IllegalStateException("reset")) }
            assertEquals("not-run", book(null).run)
            sidecar.sealAnswer = SealAnswer.newBuilder().setState(AttemptState.UNDETERMINED).build()
            val answer = book(null)
            assertEquals(ResultCode.OUTCOME_UNKNOWN.number, answer.code)
            assertEquals("unknown", answer.run)
            assertEquals(2, sidecar.calls.size)
        }

        @Test
        fun `Given unreachable tables, then a booking with a key is refused at once and not sent`() {
            connected()
            entry.tables.fault = TableFault.UNAVAILABLE
            val answer = book("k4")
            assertEquals(ResultCode.CLAIM_UNAVAILABLE.number, answer.code)
            assertEquals("not-run", answer.run)
            assertTrue(sidecar.calls.isEmpty())
        }

        @Test
        fun `Given a claim write whose answer is lost, then the claim is read back and the booking runs once`() {
            connected()
            entry.tables.fault = TableFault.ANSWER_LOST
            val answer = CompletableFuture.supplyAsync { book("k5") }
            Thread.sleep(1)
            entry.tables.fault = TableFault.NONE
            assertTrue(answer.get(5, TimeUnit.SECONDS).status in setOf(201, 503))
            assertEquals(201, book("k5").status)
            assertEquals(1, sidecar.calls.size)
        }
    }

    @Nested
    inner class Requests {
        @Test
        fun `Given credentials and internal headers in a request, then they do not reach the upstream`() {
            connected()
            val headers =
                mapOf(
                    "Cookie" to "a=b",
                    "X-Api-Key" to "k",
                    "X-Medlarhook-Workspace" to "w",
                    "X-Note" to "has $KEY in it",
                    "X-Plain" to "yes",
                    "Connection" to "X-Bound",
                    "X-Bound" to "1",
                )
            entry.send("GET", "/services/desk/lookup?a=1&api_key=x&b=$KEY", headers = headers)
            val call = sidecar.calls.single()
            assertEquals("/lookup?a=1", call.pathAndQuery)
            assertEquals("stable-1", call.workspace)
            val names = call.headersList.map { it.name.lowercase() }
            assertTrue("x-plain" in names)
            val hidden = setOf("authorization", "cookie", "x-api-key", "x-medlarhook-workspace", "x-note", "x-bound")
            assertEquals(emptySet(), names.toSet() intersect hidden)
            assertFalse(KEY in call.toString())
        }

        @Test
        fun `Given paths that parsers read differently, then they are refused and nothing runs`() {
            connected()
            val ambiguousPaths =
                listOf(
                    "/services/desk/open/../bookings",
                    "/services/desk/open/%2e%2e/bookings",
                    "/services/desk/open/%252e%252e/bookings",
                    "/services/desk/open%2f..%2fbookings",
                    "/services/desk/open;x=1",
                    "/services/desk/open//bookings",
                    "/services/desk/%6fpen",
                    "/services/desk/openbookings",
                )
            ambiguousPaths.forEach { assertTrue(raw("GET $it HTTP/1.1").substring(9, 12) in setOf("400", "404"), it) }
            assertTrue(sidecar.calls.isEmpty())
            assertEquals(201, entry.send("GET", "/services/desk/open/x", key = null).status)
        }

        @Test
        fun `Given invalid requests, then each is refused with its own code`() {
            connected()
            assertEquals(ResultCode.KEY_MISSING.number, entry.chat(key = null).code)
            assertEquals(ResultCode.KEY_INVALID.number, entry.chat(key = "wrong").code)
            assertEquals(ResultCode.UNKNOWN_FIELD.number, entry.chat(""","color":1""").code)
            assertEquals(ResultCode.BAD_PARAMETER.number, entry.chat(""","n":2""").code)
            assertEquals(ResultCode.BAD_DEADLINE.number, entry.chat(headers = mapOf("X-Deadline-Ms" to "-1")).code)
            assertEquals(ResultCode.BODY_TOO_LARGE.number, entry.chat(""","user":"${"x".repeat(20_000)}"""").code)
            assertEquals(ResultCode.UNKNOWN_SERVICE.number, entry.send("GET", "/services/none/x").code)
            val path = "/v1/chat/completions"
            assertEquals(ResultCode.MALFORMED_BODY.number, entry.send("POST", path, "{").code)
            assertEquals(ResultCode.UNKNOWN_MODEL.number, entry.send("POST", path, """{"model":"x",$MESSAGES}""").code)
            val other = """{"model":"other",$MESSAGES}"""
            assertEquals(ResultCode.MODEL_NOT_ALLOWED.number, entry.send("POST", path, other).code)
            assertTrue(sidecar.generations.isEmpty())
        }

        @Test
        fun `Given a workspace that may use one model, then the list of models has no other`() {
            assertFalse("other" in entry.send("GET", "/v1/models").body)
            entry.directory.keys["all"] = Workspace("all")
            assertContains(entry.send("GET", "/v1/models", key = "all").body, "other")
        }

        @Test
        fun `Given callers that never finish their bodies, then others are served and the slow ones get a timeout`() {
            val shortTimeoutEntry = TestEntry(calls = CallSettings(bodyTimeoutMs = 300, tickMs = 20))
            shortTimeoutEntry.register("upstream-1", sidecar)
            val head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer $KEY\r\n"
            val slow = List(300) { Socket("127.0.0.1", shortTimeoutEntry.pipeline.port) }
            slow.forEach { it.getOutputStream().write("${head}Content-Length: 50\r\n\r\n{".encodeToByteArray()) }
            assertEquals(200, shortTimeoutEntry.chat(""","max_tokens":1""").status)
            val answer = slow.last().getInputStream().bufferedReader().readLine()
            assertContains(answer, " 408 ")
            slow.forEach { it.close() }
            shortTimeoutEntry.close()
        }

        @Test
        fun `Given a shutdown, then readiness fails first, open streams finish and new requests are refused`() {
            connected()
            val mayFinish = CountDownLatch(1)
            sidecar.onGenerate = { request, events ->
                events.onNext(FakeSidecarServer.token(0))
                mayFinish.await()
                for (index in 1 until request.maxOutputTokens) events.onNext(FakeSidecarServer.token(index))
                events.onNext(FakeSidecarServer.finished())
                events.onCompleted()
            }
            val stream = CompletableFuture.supplyAsync { entry.chat(""","max_tokens":3,"stream":true""") }
            await("the generation did not start within 10 s") { sidecar.generations.size == 1 }
            val stopped = CompletableFuture.supplyAsync { entry.pipeline.stop() }
            await("the entry was still ready after 10 s") { entry.send("GET", "/readyz").status == 503 }
            await("new requests were still accepted after 10 s") {
                entry.chat(""","max_tokens":1""", key = "wrong").code == ResultCode.DRAINING.number
            }
            mayFinish.countDown()
            assertContains(stream.get(5, TimeUnit.SECONDS).body, "[DONE]")
            assertTrue(stopped.get(5, TimeUnit.SECONDS))
        }

        private fun raw(requestLine: String): String =
            Socket("127.0.0.1", entry.pipeline.port).use { socket ->
                val text = "$requestLine\r\nHost: a\r\nAuthorization: Bearer $KEY\r\nConnection: close\r\n\r\n"
                socket.getOutputStream().write(text.encodeToByteArray())
                socket.getInputStream().readBytes().decodeToString()
            }
    }
}
