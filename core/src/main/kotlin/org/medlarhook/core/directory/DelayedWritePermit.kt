package org.medlarhook.core.directory

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/**
 * Permits a write once this entry has reported for [ReplicaSettings.writeDelayMs] that it reaches the tables, and once
 * every running entry has discovered it. [FreshnessAuthorityPolicy] relies on both.
 */
public class DelayedWritePermit(
    private val settings: ReplicaSettings,
) : WritePermit {
    override fun open(state: ReplicaState, nowMs: Long): Either<WriteRefusal, ReplicaState> {
        val refusal = refusal(state, nowMs)
        return refusal?.left() ?: state.copy(reachability = state.reachability.writeOpened(nowMs)).right()
    }

    private fun refusal(state: ReplicaState, nowMs: Long): WriteRefusal? {
        val fromMs = state.reachability.reportedReachableSinceMs
        if (fromMs == null || !state.reachability.lastReadOk || !state.entries.isRegistered) {
            return WriteRefusal.TablesUnreachable
        }
        val remainingMs = fromMs + settings.writeDelayMs - nowMs
        if (remainingMs > 0) return WriteRefusal.Delayed(remainingMs)
        val undiscovered = state.entries.live(state.vms).filterNot { it.hasDiscoveredSelf }.map { it.entryId }
        return WriteRefusal.UnknownToPeers(undiscovered).takeIf { undiscovered.isNotEmpty() }
    }
}
