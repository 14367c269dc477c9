package org.medlarhook.core.routing

/**
 * Predicts the finish of a request at a candidate. The model: prefill work runs sequentially; decoding shares the batch
 * and waits for a slot while all slots are taken.
 */
public object FinishPredictor {
    /** Predicts the finish of [request] at [candidate], whose prefix cache holds [cachedTokens] of the prompt. */
    public fun predict(
        request: RouteRequest,
        candidate: Candidate,
        cachedTokens: Long,
        nowMs: Long,
    ): FinishPrediction {
        val load = candidate.load
        val speed = load.speed
        val uncachedTokens = (request.work.prefillTokens - cachedTokens).coerceAtLeast(0)
        val ownMs = speed.prefillMs(uncachedTokens) + speed.decodeMs(request.work.decodeTokens)
        val unloadedMs = nowMs + 2 * candidate.link.latencyMs + ownMs
        val waitMs = speed.prefillMs(load.work.prefillTokens) + slotWaitMs(load)
        return FinishPrediction((unloadedMs + waitMs).toLong(), unloadedMs.toLong())
    }

    /** Expected time until a slot is free: the decode work ahead, scaled by the share of requests without a slot. */
    private fun slotWaitMs(load: LoadEstimate): Double {
        val waiting = load.requests + 1 - load.speed.slots
        if (waiting <= 0) return 0.0
        return load.speed.batchDecodeMs(load.work.decodeTokens) * waiting / load.requests.coerceAtLeast(1.0)
    }
}
