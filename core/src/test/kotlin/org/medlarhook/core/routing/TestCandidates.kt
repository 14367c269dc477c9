package org.medlarhook.core.routing

internal val MODEL = ModelRef("verdict-lm", "v1")
internal val SPEED = EngineSpeed(prefillTokensPerS = 10_000.0, decodeTokensPerS = 800.0, slots = 16)

internal fun candidate(
    upstreamId: String,
    region: String = "nord",
    served: Set<ModelRef> = setOf(MODEL),
    own: WorkTokens = WorkTokens.NONE,
    ownRequests: Int = 0,
    link: Link = Link(latencyMs = 1.0),
    health: UpstreamHealth = UpstreamHealth.GOOD,
): Candidate =
    Candidate(
        upstreamId = upstreamId,
        dataCentre = "$region-1",
        region = region,
        served = served,
        load = LoadEstimate(own, ownRequests, speed = SPEED),
        link = link,
        health = health,
    )

internal fun request(
    prefillTokens: Long = 1_000,
    decodeTokens: Long = 100,
    prefixHash: Long? = null,
    excluded: Set<String> = emptySet(),
): RouteRequest =
    RouteRequest(
        model = ModelRef("verdict-lm"),
        work = WorkTokens(prefillTokens, decodeTokens),
        prefixHash = prefixHash,
        prefixTokens = if (prefixHash == null) 0 else prefillTokens,
        bodyBytes = 10_000,
        deadlineMs = 60_000,
        excluded = excluded,
    )
