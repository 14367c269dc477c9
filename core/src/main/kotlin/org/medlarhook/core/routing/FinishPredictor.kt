package org.medlarhook.core.routing

/**
 * Predicts when an answer is complete. Prefill work is done one after the other; decoding shares the batch, and waits
 * for a slot when all are taken.
 */
public object FinishPredictor {
    /** Predicts the finish of [request] at [candidate], of whose prompt [cachedTokens] need no prefill. */
    public fun predict(
        request: RouteRequest,
        candidate: Candidate,
        cachedTokens: Long,
        nowMs: Long,
    ): FinishPrediction {
        val load = candidate.load
        val speed = load.speed
        val ownTokens = (request.work.prefillTokens - cachedTokens).coerceAtLeast(0)
        val ownMs = speed.prefillMs(ownTokens) + speed.decodeMs(request.work.decodeTokens)
        val unloadedMs = nowMs + 2 * candidate.link.latencyMs + ownMs
        val waitMs = speed.prefillMs(load.work.prefillTokens) + slotWaitMs(load)
        return FinishPrediction((unloadedMs + waitMs).toLong(), unloadedMs.toLong())
    }

    /** The time until a slot is free: the share of the waiting requests in the decode work ahead. */
    private fun slotWaitMs(load: LoadEstimate): Double {
        val waiting = load.requests + 1 - load.speed.slots
        if (waiting <= 0) return 0.0
        return load.speed.batchDecodeMs(load.work.decodeTokens) * waiting / load.requests.coerceAtLeast(1.0)
    }
}
