package org.medlarhook.core.serving.limit

import kotlin.math.ceil
import kotlin.math.floor

/**
 * The turns of one process at an upstream: moments, on the clock that all processes share, from which it may send one
 * request each.
 *
 * Turns follow each other at the upstream's limit and go to the processes in order, as in time-division multiple
 * access. That needs no messages, however small the limit and many the processes, and processes whose lists differ for
 * a moment still divide the limit by about their number.
 *
 * @param perS requests a second that the upstream takes from all processes together.
 * @param place this process's place in the order, from 0 until [processes].
 */
internal class TurnSchedule(
    perS: Double,
    place: Int,
    processes: Int,
) {
    private val periodMs = processes * MS_PER_S / perS
    private val firstMs = place * MS_PER_S / perS

    /** The first turn after [clockMs]. */
    fun firstAfter(clockMs: Long): Long {
        val next = floor((clockMs - firstMs) / periodMs) + 1
        val atMs = ceil(firstMs + next * periodMs).toLong()
        return if (atMs > clockMs) atMs else clockMs + 1
    }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}
