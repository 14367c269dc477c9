package org.medlarhook.core.intent

/**
 * What a spending decision asks for.
 *
 * @property targetCount how many upstreams of [kind] shall run after it.
 * @property stopIds the upstreams to stop, already drained.
 */
public data class IntentProposal(
    val kind: String,
    val targetCount: Int,
    val stopIds: List<String> = emptyList(),
)
