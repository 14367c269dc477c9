package org.medlarhook.core.fuzz

import java.util.Random

/** Links between entries: cut one way, or delaying, duplicating and reordering. */
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

    fun joined(one: String, other: String) = !disturbed && (one to other) !in cuts && (other to one) !in cuts

    /** The delays of the copies of one message that arrive; none if the link is cut. */
    fun delaysMs(from: String, to: String): List<Long> =
        when {
            (from to to) in cuts -> emptyList()
            !disturbed -> listOf(random.nextInt(QUIET_MS).toLong())
            else -> List(1 + random.nextInt(2)) { random.nextInt(DISTURBED_MS).toLong() }
        }

    private companion object {
        const val QUIET_MS = 60
        const val DISTURBED_MS = 4_000
    }
}
