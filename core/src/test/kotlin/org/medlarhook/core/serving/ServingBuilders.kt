package org.medlarhook.core.serving

import org.medlarhook.core.serving.config.CallKind
import org.medlarhook.core.serving.config.EngineSpec
import org.medlarhook.core.serving.config.Route
import org.medlarhook.core.serving.config.WeightedService
import org.medlarhook.core.serving.fleet.Endpoint
import org.medlarhook.core.serving.fleet.EngineStage
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.load.EngineRates
import org.medlarhook.core.serving.load.GenerationWork
import org.medlarhook.core.serving.load.PrefixHitShare
import org.medlarhook.core.serving.load.PromptPart
import org.medlarhook.core.serving.load.ServiceEstimates
import org.medlarhook.core.serving.place.Demand

internal class RouteBuilder {
    var name = "route"
    var host = "one.example"
    var prefix = "/"
    var kind = CallKind.STREAM
    var timeoutMs = 2_000L
    var objectiveMs = 200L
    var isResumable = false

    fun build(): Route =
        Route(
            name = name,
            host = host,
            prefix = prefix,
            kind = kind,
            timeoutMs = timeoutMs,
            objectiveMs = objectiveMs,
            priority = 0,
            targets = listOf(WeightedService("lm", 1)),
            maxAttempts = 2,
            isAnonymous = false,
            isResumable = isResumable,
        )
}

internal fun route(build: RouteBuilder.() -> Unit = {}): Route = RouteBuilder().apply(build).build()

internal class UpstreamBuilder(
    val id: String,
) {
    var startedAtMs = 1L
    var service = "lm"
    var dataCentre = "a"
    var slots = 12
    var isDraining = false
    var stage: EngineStage? = EngineStage.DECODE
    var softwareVersion: String? = null

    fun build(): Upstream =
        Upstream(
            id,
            startedAtMs,
            Endpoint("$id.example", 80),
            service,
            dataCentre,
            slots,
            isDraining,
            stage,
            0,
            softwareVersion,
        )
}

internal fun upstream(
    id: String,
    build: UpstreamBuilder.() -> Unit = {
    },
): Upstream = UpstreamBuilder(id).apply(build).build()

internal class DemandBuilder {
    var route = route()
    var arrivedAtMs = 0L
    var waitsMs = 2_000L
    var promptTokens = 9_000
    var outputTokens = 100
    var sessionId = "session"

    fun build(): Demand =
        Demand(
            route = route,
            service = "lm",
            generation =
                GenerationWork(
                    promptTokens,
                    outputTokens,
                    438,
                    listOf(
                        PromptPart("manual", promptTokens / 3),
                        PromptPart(sessionId, promptTokens / 3),
                        PromptPart("own-$arrivedAtMs-$sessionId", promptTokens - 2 * (promptTokens / 3)),
                    ),
                ),
            workspace = "w",
            arrivedAtMs = arrivedAtMs,
            deadlineAtMs = arrivedAtMs + waitsMs,
            priority = 0,
            engine = EngineSpec(12, 783_000, 73, 163_840, 6.75e8),
        )
}

internal fun demand(build: DemandBuilder.() -> Unit = {}): Demand = DemandBuilder().apply(build).build()

/**
 * Estimates after some requests at engines that prefill a token in [prefillMsPerToken], or in [otherStagesMsPerToken]
 * outside the prefill stage, and decode one in [decodeStepMs].
 */
internal fun engineEstimates(
    prefillMsPerToken: Double = 0.0023,
    otherStagesMsPerToken: Double = prefillMsPerToken * 2,
    decodeStepMs: Double = 0.53,
): ServiceEstimates {
    val tokens = 10_000
    val rates =
        EngineRates()
            .prefilled(tokens, prefillMsPerToken * tokens, EngineStage.PREFILL)
            .prefilled(tokens, otherStagesMsPerToken * tokens, EngineStage.DECODE)
            .decoded(tokens, decodeStepMs * tokens)
    return ServiceEstimates(rates = rates, prefixHits = PrefixHitShare(0.0))
}
