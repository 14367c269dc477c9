package org.medlarhook.loadtool.run

/** Collects the times of one answer. */
internal class AnswerRecorder(
    private val planned: PlannedRequest,
    private val sinceIntendedMs: () -> Double,
) {
    private val gapsMs = mutableListOf<Double>()
    private var firstMs: Double? = null
    private var lastMs = 0.0
    private var body = ""

    /** Records a token of a stream. */
    fun onToken() {
        val nowMs = sinceIntendedMs()
        if (firstMs == null) firstMs = nowMs else gapsMs += nowMs - lastMs
        lastMs = nowMs
    }

    /** Records a body that came as a whole. */
    fun onBody(text: String) {
        firstMs = sinceIntendedMs()
        body = text
    }

    /** Ends the record. */
    fun record(status: Int, whole: Boolean, retryAfterMs: Long? = null): RequestRecord =
        RequestRecord(
            atMs = planned.atMs,
            workspace = planned.workspace,
            streamed = planned is PlannedRequest.Chat && planned.kind.streamed,
            deadlineMs = planned.deadlineMs,
            status = status,
            whole = whole,
            firstByteMs = firstMs,
            gapsMs = gapsMs.toList(),
            endMs = sinceIntendedMs(),
            retryAfterMs = retryAfterMs,
            notRun = NOT_RUN.containsMatchIn(body),
        )

    private companion object {
        val NOT_RUN = Regex("not[-_ ]run", RegexOption.IGNORE_CASE)
    }
}
