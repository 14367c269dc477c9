package org.medlarhook.entry.directory

import org.medlarhook.core.directory.ReplicaState
import org.medlarhook.core.directory.WithdrawalStatus
import org.medlarhook.entry.operators.InForceCheck
import org.medlarhook.runtime.operators.api.InForceAnswer

/** Decides from the replica's view of the other entries whether a version is in force. */
internal class ReplicaInForceCheck(
    private val arrivalTimes: VersionArrivalTimes,
    private val state: () -> ReplicaState,
) : InForceCheck {
    override fun check(version: Long, nowMs: Long): InForceAnswer {
        val current = state()
        val writtenAtMs =
            arrivalTimes.writtenByMs(version) ?: return InForceAnswer(version, false, listOf(current.selfId))
        return when (val status = WithdrawalStatus.of(current, version, writtenAtMs, nowMs)) {
            is WithdrawalStatus.InForce -> InForceAnswer(version, true, emptyList())
            is WithdrawalStatus.Waiting -> InForceAnswer(version, false, status.waitingFor)
        }
    }
}
