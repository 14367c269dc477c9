package org.medlarhook.core.serving.limit

import kotlin.math.ceil
import kotlin.math.floor

/**
 * The moments, on the clock that all processes share, at which one of them is permitted one request to an upstream.
 *
 * The permits of an upstream follow each other at its limit and go to the processes in turn. No messages are needed,
 * however small the limit and many the processes, and processes whose lists differ for a moment still have the limit
 * divided by about their number. A time-division multiple access scheme.
 *
 * @param perS requests a second that the upstream takes from all processes together.
 * @param turn this process's turn, from 0 until [processes].
 */
internal class PermitSchedule(
    perS: Double,
    turn: Int,
    processes: Int,
) {
    private val periodMs = processes * MS_PER_S / perS
    private val firstMs = turn * MS_PER_S / perS

    /** The first permit after [clockMs]. */
    fun firstAfter(clockMs: Long): Long {
        val next = floor((clockMs - firstMs) / periodMs) + 1
        val atMs = ceil(firstMs + next * periodMs).toLong()
        return if (atMs > clockMs) atMs else clockMs + 1
    }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}
