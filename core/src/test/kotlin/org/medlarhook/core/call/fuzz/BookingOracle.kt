package org.medlarhook.core.call.fuzz

/** Counts executions at the service and holds the callers' answers against them. Knows nothing else. */
internal class BookingOracle {
    private val executionsByRequest = HashMap<Int, Int>()
    private val executionsByKey = HashMap<String, Int>()
    private val answersByKey = HashMap<String, String>()
    private val toldNotRun = HashSet<Int>()
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

    /** The service runs the work of [request] under [key]; returns its answer. */
    fun executed(request: Int, key: String?): String {
        executions++
        oracle(executionsByRequest.merge(request, 1, Int::plus) == 1) { "request $request runs twice" }
        oracle(request !in toldNotRun) { "request $request was told not run, and runs" }
        if (key != null) oracle(executionsByKey.merge(key, 1, Int::plus) == 1) { "key $key runs twice" }
        return "booking $executions of ${key ?: request}"
    }

    /** The caller of [request] gets [answer]. */
    fun answered(request: Int, key: String?, answer: String, isReplay: Boolean) {
        answers++
        if (isReplay) replays++
        oracle(answer.endsWith(" of ${key ?: request}")) { "request $request gets another one's answer: $answer" }
        if (key != null) {
            val first = answersByKey.putIfAbsent(key, answer)
            oracle(first == null || first == answer) { "key $key is answered differently: $first, $answer" }
        }
    }

    /** The caller of [request] is told that it was not run. */
    fun toldNotRun(request: Int) {
        notRun++
        toldNotRun += request
        oracle(request !in executionsByRequest) { "request $request has run and is told not run" }
    }

    /** The caller is told that nothing is known. */
    fun toldUnknown() {
        unknown++
    }
}
