package org.medlarhook.core.serving.fair

import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Placement

/** The work of a request at the upstreams of its service, by which workspaces are compared. */
public object RequestWork {
    /** A decode step takes an engine about as long as the prefill of this many prompt tokens. */
    private const val PROMPT_TOKENS_PER_OUTPUT_TOKEN = 4.0

    /**
     * Returns the work of [demand] placed as [chosen]: prompt tokens that are not cached plus weighted output tokens;
     * for a plain service, the milliseconds for which the call takes a slot.
     */
    public fun of(demand: Demand, chosen: Placement.Chosen): Double {
        val generation = demand.generation ?: return chosen.decodeMs
        val promptTokens = (generation.promptTokens - chosen.cachedTokens).coerceAtLeast(0)
        return promptTokens + generation.outputTokens * PROMPT_TOKENS_PER_OUTPUT_TOKEN
    }
}
