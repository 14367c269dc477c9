package org.medlarhook.serving.second

import org.medlarhook.core.serving.place.Placement
import org.medlarhook.serving.call.Attempt

/** The exchange of one request, as an [AttemptRace] uses it. */
internal interface RacingExchange {
    /** The caller's id of the request. */
    val attemptId: String?

    /** True if the request of [attempt], its first one, may have a second one beside it. */
    fun mayHaveSecond(attempt: Attempt): Boolean

    /** True while nothing of [attempt], which leads, has reached the caller. */
    fun isWaitingFor(attempt: Attempt): Boolean

    /** Places the request once more, or returns null if it must not be sent again. */
    fun placeSecond(nowMs: Long): Placement?

    /** True if the retry budget has more left than its reserve for retries after failures. */
    fun hasReserve(nowMs: Long): Boolean

    /** Pays for an attempt at [chosen] and prepares it; returns null if it can't be paid. */
    fun newSecond(chosen: Placement.Chosen, nowMs: Long): Attempt?

    /** Sends [attempt]. */
    fun transmit(attempt: Attempt, nowMs: Long)

    /** Makes [attempt] the one that leads, instead of one that has ended or was given up. */
    fun lead(attempt: Attempt)
}
