package org.medlarhook.serving.fair

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Placement
import org.medlarhook.core.serving.place.Shortage
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.serving.process.LogThrottle

private val logger = KotlinLogging.logger {}

/** Logs and counts what admission has decided where it is fair by workspace. */
internal class FairAdmissionLog(
    private val registry: MeterRegistry,
) {
    private val counters = HashMap<String, Counter>()
    private val aboveThrottle = LogThrottle()
    private val withinThrottle = LogThrottle()

    /** Counts each request; logs a part of the refused ones, separately for those within and above a fair share. */
    fun placed(demand: Demand, placement: Placement, nowMs: Long) {
        val isAboveShare = demand.standing?.isAboveShare == true
        val shortage = (placement as? Placement.NoCapacity)?.shortage
        if (shortage == null && placement !is Placement.Chosen) return
        counter(if (shortage == null) "admitted" else "refused", if (isAboveShare) "above" else "within").increment()
        if (shortage == null) return
        val throttle = if (isAboveShare) aboveThrottle else withinThrottle
        if (!throttle.permits(nowMs)) return
        logger.warnEvent(
            if (isAboveShare) LogEvent.REFUSED_ABOVE_SHARE else LogEvent.REFUSED_WITHIN_SHARE,
            mapOf("workspace" to demand.workspace, "service" to demand.service, "route" to demand.route.name) +
                fields(demand, shortage),
        )
    }

    private fun counter(outcome: String, share: String): Counter =
        counters.getOrPut("$outcome/$share") {
            Counter
                .builder("medlarhook.fair.admissions")
                .description("Requests admitted and refused where admission is fair by workspace")
                .tag("outcome", outcome)
                .tag("share", share)
                .register(registry)
        }

    companion object {
        /** The fields that tell why [demand] was refused for [shortage]; none where admission is not fair. */
        fun fields(demand: Demand?, shortage: Shortage?): Map<String, Any?> {
            val standing = shortage?.standing ?: return emptyMap()
            return mapOf(
                "workspaceWork" to standing.work.toLong(),
                "fairShare" to standing.fairShare.toLong(),
                "toldAgeMs" to standing.toldAgeMs,
                "urgencyPercent" to (standing.urgencyFactor * PERCENT).toInt(),
                "objectivePercent" to demand?.let { (shortage.limitMs / it.route.objectiveMs * PERCENT).toInt() },
                "predictedMs" to shortage.best.firstEventMs.toLong(),
            )
        }

        private const val PERCENT = 100
    }
}
