package org.medlarhook.core.directory

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/**
 * Lets an entry write that has said for [ReplicaSettings.writeHoldMs] that it reaches the tables, and that every
 * running entry knows. What [FreshnessAuthorityPolicy] believes of other entries rests on this.
 */
public class DelayedWritePermit(
    private val settings: ReplicaSettings,
) : WritePermit {
    override fun open(state: ReplicaState, nowMs: Long): Either<WriteRefusal, ReplicaState> {
        val refusal = refusal(state, nowMs)
        return refusal?.left() ?: state.copy(reach = state.reach.writeOpened(nowMs)).right()
    }

    private fun refusal(state: ReplicaState, nowMs: Long): WriteRefusal? {
        val sinceMs = state.reach.assertedSinceMs
        if (sinceMs == null || !state.reach.lastReadOk || !state.entries.selfRegistered) return WriteRefusal.NoTables
        val remainingMs = sinceMs + settings.writeHoldMs - nowMs
        if (remainingMs > 0) return WriteRefusal.Hold(remainingMs)
        val strangers = state.entries.live(state.vms).filterNot { it.knowsSelf }.map { it.entryId }
        return WriteRefusal.NotIntroduced(strangers).takeIf { strangers.isNotEmpty() }
    }
}
