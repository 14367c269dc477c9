package org.medlarhook.core.intent

/**
 * The change of upstreams that an autoscaling decision requests.
 *
 * @property targetCount number of upstreams of [kind] that run after the change.
 * @property stopIds upstreams to stop; they are drained already.
 */
public data class IntentProposal(
    val kind: String,
    val targetCount: Int,
    val stopIds: List<String> = emptyList(),
)
