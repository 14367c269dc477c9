package org.medlarhook.core.directory

/** Result of one event: the new state, and the actions to perform. */
public data class ReplicaStep(
    val state: ReplicaState,
    val actions: List<ReplicaAction> = emptyList(),
)
