package org.medlarhook.loadtool.policy

import kotlinx.serialization.Serializable

/** A load on a small fleet, with its faults. */
@Serializable
internal data class PolicyScenario(
    val name: String,
    val durationS: Double,
    val warmUpS: Double = 10.0,
    val fleet: FleetSpec,
    val workspaces: List<WorkspaceSpec>,
    val verdict: KindSpec,
    val instruction: KindSpec,
    val phases: List<PhasePoint>,
    val faults: List<FaultSpec> = emptyList(),
    val reportIntervalMs: Double = 250.0,
    val reportLagMs: Double = 50.0,
) {
    /** Arrivals per second and share of verdicts at [nowMs], linear between the points. */
    fun phaseAt(nowMs: Double): PhasePoint = PhasePoint.between(phases, nowMs / MS_PER_S)

    companion object {
        const val MS_PER_S = 1_000.0
    }
}

/** Engines of each region; one entry stands in each region. */
@Serializable
internal data class FleetSpec(
    val regions: List<RegionSpec>,
    val slots: Int = 16,
    val baseMs: Double = 12.0,
    val perSequenceMs: Double = 0.4,
    val prefillTokensPerS: Double = 10_000.0,
    val chunkTokens: Int = 512,
    val cacheTokens: Long = 120_000,
    val roleChangeMs: Double = 4_000.0,
    val sameRegionMs: Double = 1.0,
    val otherRegionMs: Double = 20.0,
    val costPerMb: Double = 2.0,
)

/** The engines of one region. */
@Serializable
internal data class RegionSpec(
    val name: String,
    val engines: Int,
)

/** A workspace: its share of the arrivals and of the fair queue; [surge] multiplies its arrivals between two times. */
@Serializable
internal data class WorkspaceSpec(
    val name: String,
    val demand: Int,
    val surge: Double = 1.0,
    val surgeFromS: Double = 0.0,
    val surgeToS: Double = 0.0,
)

/** A kind of request. [prefixes] is the number of shared prompt starts of each workspace. */
@Serializable
internal data class KindSpec(
    val promptTokens: Long,
    val prefixTokens: Long,
    val prefixes: Int,
    val outputTokens: Int,
    val deadlineMs: Double,
    val streamed: Boolean,
)

/** The load at a point in time. */
@Serializable
internal data class PhasePoint(
    val atS: Double,
    val ratePerS: Double,
    val verdictShare: Double,
) {
    companion object {
        /** The load at [atS], linear between [points]. */
        fun between(points: List<PhasePoint>, atS: Double): PhasePoint {
            val after = points.firstOrNull { it.atS >= atS } ?: return points.last()
            val before = points.lastOrNull { it.atS <= atS } ?: return points.first()
            if (after.atS == before.atS) return after
            val share = (atS - before.atS) / (after.atS - before.atS)
            return PhasePoint(
                atS = atS,
                ratePerS = before.ratePerS + share * (after.ratePerS - before.ratePerS),
                verdictShare = before.verdictShare + share * (after.verdictShare - before.verdictShare),
            )
        }
    }
}

/** Engines that are down from [fromS] to [toS]: one of [engine], or all of [region]. */
@Serializable
internal data class FaultSpec(
    val fromS: Double,
    val toS: Double,
    val engine: Int? = null,
    val region: String? = null,
)
