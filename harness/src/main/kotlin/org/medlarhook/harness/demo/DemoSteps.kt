package org.medlarhook.harness.demo

import org.medlarhook.harness.Fleet
import org.medlarhook.harness.OperatorsCli
import org.medlarhook.harness.Readiness
import java.util.concurrent.Executors

/** The steps of the demonstration. A step throws [IllegalStateException] if the fleet does not behave as it shows. */
internal class DemoSteps(
    private val fleet: Fleet,
    private val operators: OperatorsCli,
    private val key: String,
) {
    private val caller = Caller()
    private val firstEntryUrl = fleet.entries.first().url
    private val secondEntryUrl = fleet.entries.last().url

    /** Returns true if every entry serves a small request to the model and one to the service. */
    fun isServing(): Boolean =
        fleet.entries.all { caller.chat(it.url, key, "hello", maxTokens = 1).status == HTTP_OK } &&
            fleet.entries.all { caller.get("${it.url}/services/${Demo.SERVICE}/healthz", null).status == HTTP_OK }

    /** Runs all steps and prints the outcome of each; returns true if none failed. */
    fun runAll(): Boolean {
        val steps =
            listOf(
                DemoStep("a verdict from a long prompt", ::longVerdict),
                DemoStep("a streamed instruction", ::streamedInstruction),
                DemoStep("a booking through a plain service", ::booking),
                DemoStep("a booking sent twice with one idempotency key through two entries", ::repeatedBooking),
                DemoStep("an open route needs no key", ::openRoute),
                DemoStep("a withdrawn key stops working", ::withdrawnKey),
                DemoStep("a graceful stop of an upstream cuts no stream", ::gracefulStop),
            )
        val failed = steps.count { !it.run() }
        println("demo: ${steps.size - failed} passed, $failed failed")
        return failed == 0
    }

    private fun longVerdict() {
        val answer = caller.chat(firstEntryUrl, key, "site manual ".repeat(LONG_PROMPT_WORDS), maxTokens = 2)
        check(answer.status == HTTP_OK) { answer.toString() }
    }

    private fun streamedInstruction() {
        val answer = caller.chat(secondEntryUrl, key, "how to wipe a lamp", maxTokens = STREAM_TOKENS, stream = true)
        check(answer.status == HTTP_OK) { answer.toString() }
        check(answer.body.trimEnd().endsWith("data: [DONE]")) { "the stream ended without data: [DONE]" }
    }

    private fun booking() {
        val answer = caller.post("$firstEntryUrl/services/${Demo.SERVICE}/bookings", key, """{"plaza":"central"}""")
        check(answer.status == HTTP_CREATED) { answer.toString() }
    }

    private fun repeatedBooking() {
        val headers = mapOf("Idempotency-Key" to "demo-plaza-central")
        val answers =
            listOf(firstEntryUrl, secondEntryUrl).map {
                caller.post("$it/services/${Demo.SERVICE}/bookings", key, """{"plaza":"twice"}""", headers)
            }
        check(answers.all { it.status == HTTP_CREATED } && answers.toSet().size == 1) { answers.toString() }
    }

    private fun openRoute() {
        val answer = caller.get("$secondEntryUrl/services/${Demo.SERVICE}/healthz", null)
        check(answer.status == HTTP_OK) { answer.toString() }
    }

    private fun withdrawnKey() {
        val extra = operators.grantKey(Demo.WORKSPACE)
        Readiness.until("an entry refused the new key") {
            fleet.entries.all { caller.models(it.url, extra.key).status == HTTP_OK }
        }
        val outcome = operators.withdrawKey(extra.keyId)
        check(outcome.status == 0) { outcome.output }
        Readiness.until("an entry accepted the withdrawn key", WITHDRAWAL_LIMIT_MS) {
            fleet.entries.all { caller.models(it.url, extra.key).status == HTTP_UNAUTHORIZED }
        }
    }

    private fun gracefulStop() {
        val callers = Executors.newFixedThreadPool(STREAMS)
        val answers =
            List(STREAMS) { number ->
                val entry = fleet.entries[number % fleet.entries.size].url
                callers.submit<Answer> { caller.chat(entry, key, "stream $number", LONG_STREAM_TOKENS, stream = true) }
            }
        Thread.sleep(BEFORE_STOP_MS)
        val hasEnded = fleet.upstreams.first().sidecar.terminate()
        val completeStreams = answers.count { it.get().body.trimEnd().endsWith("data: [DONE]") }
        callers.shutdown()
        check(hasEnded) { "the sidecar did not exit within 30 s of SIGTERM" }
        check(completeStreams == STREAMS) { "$completeStreams of $STREAMS streams were complete" }
    }

    private companion object {
        const val STREAMS = 12
        const val LONG_STREAM_TOKENS = 150
        const val BEFORE_STOP_MS = 500L
        const val HTTP_OK = 200
        const val HTTP_CREATED = 201
        const val HTTP_UNAUTHORIZED = 401
        const val LONG_PROMPT_WORDS = 2_000
        const val STREAM_TOKENS = 20
        const val WITHDRAWAL_LIMIT_MS = 5_000L
    }
}
