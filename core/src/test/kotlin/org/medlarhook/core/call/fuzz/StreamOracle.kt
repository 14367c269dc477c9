package org.medlarhook.core.call.fuzz

/**
 * Test oracle of one stream: compares what the caller received with the expected text. It uses no code under test, so
 * that it does not share its faults.
 */
internal class StreamOracle(
    private val expected: List<String>,
) {
    private val received = ArrayList<String>()
    private var finalAnswers = 0
    var isComplete = false
        private set

    fun delivered(texts: List<String>) {
        oracle(finalAnswers == 0) { "text after the final answer" }
        received += texts
        oracle(received.size <= expected.size && received == expected.take(received.size)) { "not a prefix: $received" }
    }

    fun finished() {
        ended()
        oracle(received == expected) { "end mark after ${received.size} of ${expected.size} tokens" }
        isComplete = true
    }

    fun failed(isReportedNotRun: Boolean) {
        ended()
        oracle(!isReportedNotRun || received.isEmpty()) { "reported as not run after text" }
    }

    private fun ended() {
        finalAnswers++
        oracle(finalAnswers == 1) { "a second final answer" }
    }
}
