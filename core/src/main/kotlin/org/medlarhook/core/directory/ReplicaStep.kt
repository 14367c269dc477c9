package org.medlarhook.core.directory

/** The outcome of one event: the new state, and what to do. */
public data class ReplicaStep(
    val state: ReplicaState,
    val actions: List<ReplicaAction> = emptyList(),
)
