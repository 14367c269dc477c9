package org.medlarhook.serving.call

/**
 * What the head of an upstream's answer says.
 *
 * @property attemptId the attempt that it answers, as echoed; null if it names none.
 * @property isNotRun true if the upstream states that it has not run the request.
 * @property isMisdirected true if another upstream has the address now.
 * @property load running, waiting and slots, if told.
 * @property isStream true if events follow.
 * @property isStamped true if the upstream has marked the answer as its own.
 * @property isEncoded true if the body is not the upstream's own bytes.
 */
public data class UpstreamHead(
    val status: Int,
    val attemptId: String?,
    val isNotRun: Boolean,
    val isMisdirected: Boolean,
    val load: ReportedLoad?,
    val isStream: Boolean,
    val isEncoded: Boolean,
    val closesConnection: Boolean,
    val idleTimeoutMs: Long?,
    val isStamped: Boolean,
) {
    /** True for a success that does not carry the upstream's mark: bytes of a faulty upstream, not its answer. */
    val isUnstampedSuccess: Boolean get() = status < FIRST_REDIRECT && !isStamped

    private companion object {
        const val FIRST_REDIRECT = 300
    }
}

/** The load that an upstream tells with an answer. */
public data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
)
