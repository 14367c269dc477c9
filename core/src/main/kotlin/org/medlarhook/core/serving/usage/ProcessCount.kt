package org.medlarhook.core.serving.usage

import kotlinx.serialization.Serializable

/**
 * The requests that one process has counted in one window, by workspace, as the process publishes them.
 *
 * @property isClosed true if the process counts no further request in this window.
 * @property peer the address on which other processes reach it, as `host:port`, or null if it has none.
 * @property isLast true if the process has ended and publishes no later window.
 */
@Serializable
public data class ProcessCount(
    val counts: Map<String, Long>,
    val isClosed: Boolean,
    val isLast: Boolean = false,
    val peer: String? = null,
) {
    init {
        val odd = counts.values.firstOrNull { it !in 0..MAX_COUNT }
        require(odd == null) { "a workspace has $odd requests, expected 0 to $MAX_COUNT" }
    }

    private companion object {
        /** More than any process serves in a window; the sum over all processes does not overflow. */
        const val MAX_COUNT = 1_000_000_000_000L
    }
}
