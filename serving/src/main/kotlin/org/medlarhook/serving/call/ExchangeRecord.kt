package org.medlarhook.serving.call

import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Placement
import org.medlarhook.core.serving.place.Shortage
import org.medlarhook.serving.second.RaceOutcome

/**
 * Collects the fields of a request's log line.
 *
 * @property requestOnConnection 1 for the first request on its connection.
 * @property stoppingMs the age of the process's graceful shutdown when the request arrived, or null if there was none.
 * @property isOrphaned true if the caller has left while an attempt of a non-idempotent call continues.
 */
internal class ExchangeRecord(
    val call: CallerCall,
    val arrivedAtMs: Long,
    val requestOnConnection: Int,
    val stoppingMs: Long?,
) {
    var demand: Demand? = null
    var retryAfterMs: Long? = null

    /** The time from the request's arrival to the first event of its stream, or null if there was none. */
    var firstEventMs: Long? = null
    var isOrphaned = false

    /** Times that the request was sent to an upstream on an open connection, prefills included. */
    val arrivals: Int get() = attempts.count { it.answerText != null }

    /** Retries that were withdrawn from the budget. */
    var retries = 0

    /** Recognises the request when it comes again, if an upstream broke off its answer; null for any other. */
    var fingerprint: String? = null

    /** True if the budget had no retry left for the request. */
    var isRetryRefused = false

    /** Which of two attempts answered, or null if no second one was sent beside the first. */
    var second: RaceOutcome? = null

    /** Why the request was not admitted when it was placed last, or null if it was. */
    var shortage: Shortage? = null
        private set
    private val attempts = ArrayList<AttemptRecord>()
    private var sentAtMs = 0L

    /**
     * Each attempt as `upstream@version+ms since arrival/predicted ms:cached prompt tokens`, with `<upstream` where the
     * prefix is fetched from another one, `(read)` after a prefill and `!reason` where it failed.
     */
    val attemptsText: String get() = attempts.joinToString(" ") { it.text }

    /**
     * Each attempt that was sent as `connection.request`, with `=status/framing` if the head of an answer came back,
     * and `/no_id` if that returned no id; null if none was sent.
     */
    val answersText: String? get() = attempts.mapNotNull { it.answerText }.joinToString(" ").ifEmpty { null }

    /** The time from the request's arrival to its last attempt. */
    val waitedMs: Long get() = if (attempts.isEmpty()) 0 else sentAtMs - arrivedAtMs

    /** Records where the request was placed, or why it was not. */
    fun placed(placement: Placement) {
        shortage = (placement as? Placement.NoCapacity)?.shortage
    }

    /** Records an attempt that begins at [nowMs]. */
    fun sent(chosen: Placement.Chosen, nowMs: Long): AttemptRecord {
        val source = if (chosen.prefill == null) sourceText(chosen) else ""
        val text =
            "${textOf(chosen.upstream)}+${nowMs - arrivedAtMs}/${chosen.firstEventMs.toLong()}:" +
                "${chosen.cachedTokens}$source"
        return added(text, nowMs)
    }

    /** Records a prefill that begins at [nowMs]. */
    fun prefillSent(chosen: Placement.Chosen, nowMs: Long): AttemptRecord {
        val prefillText = chosen.prefill?.let { textOf(it) }
        val text = "$prefillText+${nowMs - arrivedAtMs}/${chosen.readyMs.toLong()}:${chosen.cachedTokens}"
        return added("$text${sourceText(chosen)}(read)", nowMs)
    }

    private fun added(text: String, nowMs: Long): AttemptRecord {
        sentAtMs = nowMs
        return AttemptRecord(text).also { attempts += it }
    }

    private fun textOf(upstream: Upstream): String = "${upstream.id}@${upstream.softwareVersion ?: "?"}"

    private fun sourceText(chosen: Placement.Chosen): String = chosen.prefix?.source?.let { "<${it.id}" }.orEmpty()
}
