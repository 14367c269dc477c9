package org.medlarhook.entry.directory

import org.medlarhook.core.directory.ReplicaState
import org.medlarhook.core.directory.WithdrawalStatus
import org.medlarhook.entry.operators.InForceView
import org.medlarhook.runtime.operators.api.InForceAnswer

/** Tells how far a version is in force, from what the replica knows of the other entries. */
internal class WithdrawalView(
    private val times: VersionTimes,
    private val state: () -> ReplicaState,
) : InForceView {
    override fun inForce(version: Long, nowMs: Long): InForceAnswer {
        val current = state()
        val writtenAtMs = times.writtenBy(version) ?: return InForceAnswer(version, false, listOf(current.selfId))
        return when (val status = WithdrawalStatus.of(current, version, writtenAtMs, nowMs)) {
            is WithdrawalStatus.InForce -> InForceAnswer(version, true, emptyList())
            is WithdrawalStatus.Waiting -> InForceAnswer(version, false, status.waitingFor)
        }
    }
}
