package org.medlarhook.core.call.fuzz

/**
 * Test oracle: compares the answers to callers with the executions at the service. It uses no code under test, so that
 * it does not share its faults.
 */
internal class BookingOracle {
    private val executionsByRequest = HashMap<Int, Int>()
    private val executionsByKey = HashMap<String, Int>()
    private val answersByKey = HashMap<String, String>()
    private val reportedNotRun = HashSet<Int>()
    var executions = 0
        private set
    var answers = 0
        private set
    var replays = 0
        private set
    var notRun = 0
        private set
    var unknown = 0
        private set

    /** Records that the service runs [request] with [key], and returns its answer. */
    fun executed(request: Int, key: String?): String {
        executions++
        oracle(executionsByRequest.merge(request, 1, Int::plus) == 1) { "request $request runs twice" }
        oracle(request !in reportedNotRun) { "request $request runs, but was reported as not run" }
        if (key != null) oracle(executionsByKey.merge(key, 1, Int::plus) == 1) { "key $key runs twice" }
        return "booking $executions of ${key ?: request}"
    }

    /** Records that the caller of [request] gets [answer]. */
    fun answered(request: Int, key: String?, answer: String, isReplay: Boolean) {
        answers++
        if (isReplay) replays++
        oracle(answer.endsWith(" of ${key ?: request}")) { "request $request gets the answer of another one: $answer" }
        if (key != null) {
            val first = answersByKey.putIfAbsent(key, answer)
            oracle(first == null || first == answer) { "key $key gets two answers: $first, $answer" }
        }
    }

    /** Records that [request] is reported to its caller as not run. */
    fun reportedNotRun(request: Int) {
        notRun++
        reportedNotRun += request
        oracle(request !in executionsByRequest) { "request $request has run, but is reported as not run" }
    }

    /** Records that a request is reported to its caller as possibly run. */
    fun reportedUnknown() {
        unknown++
    }
}
