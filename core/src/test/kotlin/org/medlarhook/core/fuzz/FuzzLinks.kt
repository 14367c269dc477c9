package org.medlarhook.core.fuzz

import java.util.Random

/** Links between entries, which can be cut in one direction, or delay, duplicate and reorder messages. */
class FuzzLinks(
    private val random: Random,
) {
    private val cuts = mutableSetOf<Pair<String, String>>()
    var disturbed = false

    fun cut(from: String, to: String) {
        cuts += from to to
    }

    fun cutBoth(one: String, other: String) {
        cut(one, other)
        cut(other, one)
    }

    fun heal() {
        cuts.clear()
        disturbed = false
    }

    fun areConnected(one: String, other: String) = !disturbed && (one to other) !in cuts && (other to one) !in cuts

    /** Returns the delay of each copy of a message that arrives; empty if the link is cut. */
    fun delaysMs(from: String, to: String): List<Long> =
        when {
            (from to to) in cuts -> emptyList()
            !disturbed -> listOf(random.nextInt(MAX_DELAY_MS).toLong())
            else -> List(1 + random.nextInt(2)) { random.nextInt(MAX_DISTURBED_DELAY_MS).toLong() }
        }

    private companion object {
        const val MAX_DELAY_MS = 60
        const val MAX_DISTURBED_DELAY_MS = 4_000
    }
}
