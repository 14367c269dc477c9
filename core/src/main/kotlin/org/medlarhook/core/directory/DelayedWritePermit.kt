package org.medlarhook.core.directory

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/**
 * Lets an entry write that has said for [ReplicaSettings.writeDelayMs] that it reaches the tables, and that every
 * running entry knows. What [FreshnessAuthorityPolicy] believes of other entries rests on this.
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
        if (fromMs == null || !state.reachability.lastReadOk || !state.entries.isRegistered) return WriteRefusal.Offline
        val remainingMs = fromMs + settings.writeDelayMs - nowMs
        if (remainingMs > 0) return WriteRefusal.Delayed(remainingMs)
        val strangers = state.entries.live(state.vms).filterNot { it.knowsSelf }.map { it.entryId }
        return WriteRefusal.UnknownToPeers(strangers).takeIf { strangers.isNotEmpty() }
    }
}
