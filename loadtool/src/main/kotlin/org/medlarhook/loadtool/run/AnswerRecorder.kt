package org.medlarhook.loadtool.run

/**
 * Records the times of one answer.
 *
 * @param sinceScheduledMs the time since the scheduled send time of the request.
 */
internal class AnswerRecorder(
    private val planned: PlannedRequest,
    private val sinceScheduledMs: () -> Double,
) {
    private val tokenGapsMs = mutableListOf<Double>()
    private var firstByteMs: Double? = null
    private var lastTokenMs = 0.0
    private var body = ""

    /** Records a token of a streamed answer. */
    fun onToken() {
        val nowMs = sinceScheduledMs()
        if (firstByteMs == null) firstByteMs = nowMs else tokenGapsMs += nowMs - lastTokenMs
        lastTokenMs = nowMs
    }

    /** Records the body of an answer that is not streamed. */
    fun onBody(text: String) {
        firstByteMs = sinceScheduledMs()
        body = text
    }

    /**
     * The record of the answer, which ends now.
     *
     * @param status HTTP status; 0 if the connection failed.
     */
    fun record(status: Int, complete: Boolean, retryAfterMs: Long? = null): RequestRecord =
        RequestRecord(
            atMs = planned.atMs,
            workspace = planned.workspace,
            streamed = planned is PlannedRequest.Chat && planned.kind.streamed,
            deadlineMs = planned.deadlineMs,
            status = status,
            complete = complete,
            firstByteMs = firstByteMs,
            tokenGapsMs = tokenGapsMs.toList(),
            endMs = sinceScheduledMs(),
            retryAfterMs = retryAfterMs,
            notRun = NOT_RUN_PATTERN.containsMatchIn(body),
        )

    private companion object {
        val NOT_RUN_PATTERN = Regex("not[-_ ]run", RegexOption.IGNORE_CASE)
    }
}
