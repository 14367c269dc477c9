package org.medlarhook.loadtool.policy

import kotlinx.serialization.Serializable

/**
 * A simulated load on a fleet, with faults.
 *
 * @property warmUpS requests that arrive in this first part of the run are not measured.
 * @property verdict requests with a long prompt and a short answer.
 * @property instruction requests with a short prompt and a long answer.
 * @property phases load over time, as points with linear interpolation between them.
 * @property reportLagMs time from a load report until the entries receive it.
 */
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
    /** Arrival rate and share of verdicts at [nowMs], linearly interpolated between [phases]. */
    fun phaseAt(nowMs: Double): PhasePoint = PhasePoint.between(phases, nowMs / MS_PER_S)

    companion object {
        const val MS_PER_S = 1_000.0
    }
}

/**
 * The fleet: the engines of each region, and one entry per region.
 *
 * @property slots batch slots of an engine.
 * @property baseMs duration of an iteration without prefill and decode work.
 * @property perSequenceMs time that each decoded sequence adds to an iteration.
 * @property chunkTokens most prompt tokens that an iteration prefills.
 * @property cacheTokens size of the prefix cache of an engine.
 * @property roleChangeMs time for which a drained engine is unavailable while its role changes.
 * @property sameRegionMs latency in one direction between an entry and an engine of its region.
 * @property otherRegionMs latency in one direction between an entry and an engine of another region.
 * @property costPerMb routing cost of a megabyte of request body sent to another region.
 */
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

/**
 * A workspace and its load.
 *
 * @property demand share of the arrivals in relation to the other workspaces, and weight in the fair queue.
 * @property surge factor on the arrivals from [surgeFromS] to [surgeToS].
 */
@Serializable
internal data class WorkspaceSpec(
    val name: String,
    val demand: Int,
    val surge: Double = 1.0,
    val surgeFromS: Double = 0.0,
    val surgeToS: Double = 0.0,
)

/**
 * A kind of request.
 *
 * @property prefixTokens length of the prompt prefix that requests share, out of [promptTokens].
 * @property prefixes number of shared prefixes of each workspace.
 * @property streamed the answer is a stream, with limits on the time to first token and on the gaps between tokens.
 */
@Serializable
internal data class KindSpec(
    val promptTokens: Long,
    val prefixTokens: Long,
    val prefixes: Int,
    val outputTokens: Int,
    val deadlineMs: Double,
    val streamed: Boolean,
)

/**
 * The load at a point in time.
 *
 * @property verdictShare share of the requests that are verdicts; the others are instructions.
 */
@Serializable
internal data class PhasePoint(
    val atS: Double,
    val ratePerS: Double,
    val verdictShare: Double,
) {
    companion object {
        /** The load at [atS], linearly interpolated between [points]; constant before the first and after the last. */
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

/**
 * An outage of engines from [fromS] to [toS].
 *
 * @property engine index of an engine that is down.
 * @property region region whose engines are all down; no requests arrive at its entry meanwhile.
 */
@Serializable
internal data class FaultSpec(
    val fromS: Double,
    val toS: Double,
    val engine: Int? = null,
    val region: String? = null,
)
