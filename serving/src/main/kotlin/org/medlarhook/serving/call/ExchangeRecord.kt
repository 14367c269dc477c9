package org.medlarhook.serving.call

import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Placement

/** What the log line of a request says when it ends. */
internal class ExchangeRecord(
    val call: CallerCall,
    val arrivedAtMs: Long,
) {
    var demand: Demand? = null
    var retryAfterMs: Long? = null
    var isOrphaned = false
    private val steps = ArrayList<String>()
    private var sentAtMs = 0L

    /** Each attempt as `upstream+ms since arrival/predicted ms`, with `!reason` where it failed. */
    val trail: String get() = steps.joinToString(" ")

    /** How long the request waited before its last attempt. */
    val waitedMs: Long get() = if (steps.isEmpty()) 0 else sentAtMs - arrivedAtMs

    fun sent(chosen: Placement.Chosen, nowMs: Long) {
        sentAtMs = nowMs
        steps += "${chosen.upstream.id}+${nowMs - arrivedAtMs}/${chosen.firstEventMs.toLong()}:${chosen.cachedTokens}"
    }

    fun reading(chosen: Placement.Chosen, nowMs: Long) {
        sentAtMs = nowMs
        steps += "${chosen.prefill?.id}+${nowMs - arrivedAtMs}/${chosen.readyMs.toLong()}:${chosen.cachedTokens}(read)"
    }

    fun failed(reason: String) {
        if (steps.isNotEmpty()) steps[steps.size - 1] += "!$reason"
    }
}
