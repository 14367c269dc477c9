package org.medlarhook.core.serving.limit

/**
 * When a request may be sent to one of several upstreams, if others wait for them too.
 *
 * Designed for services whose upstreams all limit their requests: each waiting request gets a turn of its own, so that
 * one whose turn would come too late is refused at once and does not wait in vain.
 */
public object TurnQueue {
    /**
     * The time from which the request behind [ahead] others may be sent, or null if there are no upstreams.
     *
     * @param openings for each upstream the times from which it takes one request each, in order and without end.
     */
    public fun openingOf(openings: List<Sequence<Long>>, ahead: Int): Long? {
        val upcoming = openings.map { it.iterator() }
        val next = upcoming.map { it.next() }.toMutableList()
        repeat(ahead) {
            val first = next.indices.minByOrNull { next[it] } ?: return null
            next[first] = upcoming[first].next()
        }
        return next.minOrNull()
    }
}
