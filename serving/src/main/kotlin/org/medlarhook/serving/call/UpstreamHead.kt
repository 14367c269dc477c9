package org.medlarhook.serving.call

/**
 * The parsed head of an upstream's answer.
 *
 * @property attemptId id of the attempt that is answered, as returned by the upstream; null if it returns none.
 * @property isNotRun true if the upstream states that it has not run the request.
 * @property isMisdirected true if another upstream now has the address (status 421).
 * @property load the load report, if the answer has one.
 * @property isStream true if the body is a stream of events.
 * @property isEncoded true if the body has a content encoding, so that its bytes are not those of the upstream.
 * @property closesConnection true if the upstream closes the connection after the answer.
 * @property idleTimeoutMs how long the upstream keeps the connection open when idle, if the answer says so.
 * @property stamp the upstream's stamp on the answer, which no other run has; null if there is none.
 * @property retryAfter how long the upstream wants no requests from this process, if a rejection says so.
 * @property isLeaving true if the upstream says that it leaves and wants no new work.
 * @property limit the limit of its requests that the upstream names, or null if it names none.
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
    val stamp: String?,
    val retryAfter: ReportedRetryAfter?,
    val isLeaving: Boolean,
    val limit: ReportedLimit?,
) {
    /** True if the answer carries the upstream's stamp. */
    val isStamped: Boolean get() = stamp != null

    /** True for a success without the upstream's stamp: it comes from a faulty upstream and is not a valid answer. */
    val isUnstampedSuccess: Boolean get() = status < FIRST_REDIRECT && !isStamped

    /** True for a status that tells callers "not run" although the upstream has not stated that. */
    val isUnfoundedPromise: Boolean get() = !isNotRun && status in PROMISES

    private companion object {
        const val FIRST_REDIRECT = 300
        val PROMISES = setOf(408, 429, 503)
    }
}

/**
 * The load report in an upstream's answer.
 *
 * @property text the value as received.
 * @property counts what it says, or null if it is malformed.
 */
public data class ReportedLoad(
    val text: String,
    val counts: LoadCounts?,
)

/**
 * What an upstream reports of its load.
 *
 * @property running requests that run.
 * @property waiting requests that wait to run.
 * @property slots requests that can run at once.
 * @property workTime how long work takes there now, divided by the usual time; null if it does not say.
 */
public data class LoadCounts(
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val workTime: Double?,
)

/**
 * The Retry-After of an upstream's rejection.
 *
 * @property text the value as received.
 * @property seconds the value as a number, or null if it is malformed. It is not bounded.
 */
public data class ReportedRetryAfter(
    val text: String,
    val seconds: Double?,
)

/**
 * The limit that an upstream names in an answer.
 *
 * @property text the value as received.
 * @property perS the requests a second that it takes from all processes together, or null if it is malformed. It is not
 * bounded.
 */
public data class ReportedLimit(
    val text: String,
    val perS: Double?,
)
