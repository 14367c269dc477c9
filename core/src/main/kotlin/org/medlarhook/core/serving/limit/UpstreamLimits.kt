package org.medlarhook.core.serving.limit

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.medlarhook.core.serving.fleet.Incarnation

/**
 * How many requests upstreams take from all processes together, as they have said in their answers.
 *
 * A limit holds for one incarnation only. All times are on the monotonic clock.
 */
public data class UpstreamLimits(
    private val limits: PersistentMap<Incarnation, Limit> = persistentMapOf(),
) {
    /**
     * What one upstream has said.
     *
     * @property perS requests a second, or null if it does not limit them any more.
     * @property asOfMs when it was so.
     */
    public data class Limit(
        val perS: Double?,
        val asOfMs: Long,
    )

    /** The limit of [incarnation] in requests a second, or null if it has none. */
    public fun perS(incarnation: Incarnation): Double? = limits[incarnation]?.perS

    /**
     * Records that [incarnation] limits its requests to [perS] a second, or to none if null, as of [asOfMs]. Of two
     * statements the later one holds, in whichever order they are recorded.
     */
    public fun said(incarnation: Incarnation, perS: Double?, asOfMs: Long): UpstreamLimits {
        val known = limits[incarnation]
        val isNews = if (known == null) perS != null else asOfMs > known.asOfMs
        if (!isNews) return this
        return copy(limits = limits.put(incarnation, Limit(perS, asOfMs)))
    }

    /** Drops what upstreams that are not in [registered] have said. */
    public fun prune(registered: Set<Incarnation>): UpstreamLimits =
        if (limits.keys.all { it in registered }) {
            this
        } else {
            copy(limits = limits.filterKeys { it in registered }.toPersistentMap())
        }
}
