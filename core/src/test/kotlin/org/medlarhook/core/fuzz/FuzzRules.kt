package org.medlarhook.core.fuzz

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.medlarhook.core.directory.AppendFailure
import org.medlarhook.core.directory.AuthorityBasis
import org.medlarhook.core.directory.AuthorityDecision
import org.medlarhook.core.directory.AuthorityPolicy
import org.medlarhook.core.directory.DelayedWritePermit
import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.directory.DirectoryLog
import org.medlarhook.core.directory.FreshnessAuthorityPolicy
import org.medlarhook.core.directory.PeerDigest
import org.medlarhook.core.directory.ReplicaSettings
import org.medlarhook.core.directory.ReplicaState
import org.medlarhook.core.directory.TableReachability
import org.medlarhook.core.directory.WithdrawalStatus
import org.medlarhook.core.directory.WritePermit
import org.medlarhook.core.directory.WriteRefusal

private typealias StatusRule = (ReplicaState, version: Long, writtenAtMs: Long, nowMs: Long) -> WithdrawalStatus

/** The mechanisms under test. A broken variant replaces one of them. */
data class FuzzRules(
    val settings: ReplicaSettings = ReplicaSettings(),
    val policy: AuthorityPolicy = FreshnessAuthorityPolicy(settings),
    val permit: WritePermit = DelayedWritePermit(settings),
    val status: StatusRule = WithdrawalStatus::of,
    val countedFromMs: (sentAtMs: Long, receivedAtMs: Long) -> Long = { sentAtMs, _ -> sentAtMs },
    val received: (PeerDigest) -> PeerDigest = { it },
    val append: (DirectoryLog, DirectoryChange) -> Either<AppendFailure, Long> = DirectoryLog::append,
    val settle: (DirectoryLog, DirectoryChange) -> Either<AppendFailure, Long> = DirectoryLog::settle,
)

/** Variants with one broken mechanism each, whose violations the oracle must find. */
object BrokenRules {
    private val sound = FuzzRules()

    val agesCountedFromReceipt = sound.copy(countedFromMs = { _, receivedAtMs -> receivedAtMs })

    val peerStatusesWithoutVersion = sound.copy(received = { it.copy(version = 0) })

    val outageDecidedAlone = sound.copy(
        policy = { state, nowMs ->
            if (state.reachability.reportsReachable) sound.policy.decide(state, nowMs) else serve(nowMs)
        },
    )

    val stoppedEntriesForgotten = sound.copy(
        policy = { state, nowMs ->
            val live = state.entries.live(state.vms).map { it.entryId }
            val members = state.entries.members.filterKeys { it in live }
            val entries = state.entries.copy(members = state.entries.members.clear().putAll(members))
            sound.policy.decide(state.copy(entries = entries), nowMs)
        },
    )

    val writesWithoutDelay = sound.copy(
        permit = permit {
            it.copy(reportedReachableSinceMs = it.reportedReachableSinceMs?.minus(HOUR_MS))
        },
    )

    val writesBeforeDiscovery = sound.copy(
        permit = { state, nowMs ->
            val withoutPeers = state.copy(entries = state.entries.copy(members = state.entries.members.clear()))
            sound.permit.open(withoutPeers, nowMs).map { state.copy(reachability = it.reachability) }
        },
    )

    val withdrawalsDeclaredEarly = sound.copy(
        status = { state, version, writtenAtMs, nowMs ->
            WithdrawalStatus.of(state, version, writtenAtMs - ReplicaSettings.WITHDRAWAL_BOUND_MS, nowMs)
        },
    )

    val lostAnswersForgottenOnRetry = sound.copy(settle = DirectoryLog::append)

    val lostAnswersTreatedAsRefusals = sound.copy(
        append = { log, change ->
            val result = log.append(change)
            val lost = result.leftOrNull() is AppendFailure.OutcomeUnknown
            if (lost) AppendFailure.Unavailable("lost answer treated as refusal").left() else result
        },
    )

    private const val HOUR_MS = 3_600_000L

    private fun serve(nowMs: Long) = AuthorityDecision.Serve(AuthorityBasis.COMMON_OUTAGE, nowMs)

    private fun permit(change: (TableReachability) -> TableReachability) =
        object : WritePermit {
            override fun open(state: ReplicaState, nowMs: Long): Either<WriteRefusal, ReplicaState> =
                sound.permit
                    .open(state.copy(reachability = change(state.reachability)), nowMs)
                    .fold({ it.left() }, { state.copy(reachability = state.reachability.writeOpened(nowMs)).right() })
        }
}
