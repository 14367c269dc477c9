package org.medlarhook.core.lease

import org.medlarhook.core.row.RowJson
import org.medlarhook.ports.Condition
import org.medlarhook.ports.Row

/**
 * Decides how one process takes, renews and hands back one lease.
 *
 * The holder counts its lease from before the renewal was sent. A successor counts from when it saw the row change
 * last, which is after the renewal took effect, and waits for [LeaseSettings.takeOverAfterMs]; so the two never
 * overlap as long as their clocks' rates differ by less than the margin. After a lost answer the process reads the row
 * and knows its own nonce; if nothing has changed, it sends the same transaction again, so that only one copy counts.
 */
public class LeaseMachine(
    private val scope: LeaseScope,
    private val holder: String,
    private val settings: LeaseSettings,
) {
    private val jitter = Jitter(settings.jitterPercent, "$holder/${scope.name}")

    /** The state of a process that starts at [nowMs] and has read nothing. */
    public fun start(nowMs: Long): LeaseState =
        LeaseState.Watching(Condition.ABSENT, null, 0, nowMs + jitter.spread(settings.retryMs, 0))

    /** Returns what follows from [event] at [nowMs]. */
    public fun next(state: LeaseState, event: LeaseEvent, nowMs: Long): LeaseStep =
        when (state) {
            is LeaseState.Watching -> watching(state, event, nowMs)
            is LeaseState.Writing -> writing(state, event, nowMs)
            is LeaseState.Holding -> holding(state, event, nowMs)
            is LeaseState.Released -> LeaseStep(state)
        }

    /** The authority that [state] gives, lapsed or not, or null. */
    public fun authority(state: LeaseState): Authority? =
        when (state) {
            is LeaseState.Holding -> state.lease.authority
            is LeaseState.Writing -> state.write.held?.authority?.takeUnless { state.isReleasing() }
            is LeaseState.Watching, is LeaseState.Released -> null
        }

    private fun LeaseState.Writing.isReleasing(): Boolean = releaseWhenSettled || write.kind == LeaseWriteKind.RELEASE

    private fun watching(state: LeaseState.Watching, event: LeaseEvent, nowMs: Long): LeaseStep =
        when (event) {
            is LeaseEvent.Tick -> if (nowMs >=
                state.nextAtMs
            ) {
                LeaseStep(state, LeaseAction.ReadRows)
            } else {
                LeaseStep(state)
            }
            is LeaseEvent.RowsRead -> observed(state, event, nowMs)
            is LeaseEvent.Release -> LeaseStep(LeaseState.Released(state.writes))
            is LeaseEvent.Unreachable -> LeaseStep(state.copy(nextAtMs = retryAt(state, nowMs)))
            is LeaseEvent.Written, is LeaseEvent.Conflicted, is LeaseEvent.OutcomeLost -> LeaseStep(state)
        }

    /** Says whether the epoch row matters beside [lease]: a process that waits needs it only to take a free lease. */
    public fun needsEpoch(state: LeaseState, lease: Row?, nowMs: Long): Boolean =
        state !is LeaseState.Watching || isFree(state, lease, nowMs)

    private fun isFree(state: LeaseState.Watching, lease: Row?, nowMs: Long): Boolean {
        val current = lease?.let { RowJson.decode<LeaseRow>(it.value) }
        return current == null || current.released || nowMs - sinceMs(state, lease, nowMs) >= settings.takeOverAfterMs
    }

    private fun sinceMs(state: LeaseState.Watching, lease: Row?, nowMs: Long): Long =
        state.unchangedSinceMs?.takeIf { lease.versionOrAbsent() == state.seenVersion } ?: nowMs

    private fun observed(state: LeaseState.Watching, read: LeaseEvent.RowsRead, nowMs: Long): LeaseStep {
        val version = read.lease.versionOrAbsent()
        val sinceMs = sinceMs(state, read.lease, nowMs)
        if (isFree(state, read.lease, nowMs) && read.mayAcquire) return take(state, read, nowMs)
        val takeOverAtMs = (sinceMs + settings.takeOverAfterMs).takeIf { it > nowMs } ?: Long.MAX_VALUE
        val nextAtMs = minOf(nowMs + jitter.spread(settings.watchEveryMs, nowMs), takeOverAtMs)
        return LeaseStep(LeaseState.Watching(version, sinceMs, state.writes, nextAtMs))
    }

    private fun take(state: LeaseState.Watching, read: LeaseEvent.RowsRead, nowMs: Long): LeaseStep {
        val lastEpoch = read.epoch?.let { RowJson.decode<EpochRow>(it.value).epoch } ?: 0
        val write =
            LeaseWrite(
                kind = LeaseWriteKind.TAKE,
                scope = scope,
                row = LeaseRow(holder, lastEpoch + 1, nonce(state.writes)),
                expectedLeaseVersion = read.lease.versionOrAbsent(),
                expectedEpochVersion = read.epoch.versionOrAbsent(),
                firstSentAtMs = nowMs,
            )
        return send(write, state, nowMs)
    }

    private fun holding(state: LeaseState.Holding, event: LeaseEvent, nowMs: Long): LeaseStep =
        when (event) {
            is LeaseEvent.Tick -> if (nowMs >= state.nextAtMs) renew(state, nowMs) else LeaseStep(state)
            is LeaseEvent.Release -> release(state.lease, state, nowMs)
            is LeaseEvent.RowsRead, is LeaseEvent.Unreachable, is LeaseEvent.Written,
            is LeaseEvent.Conflicted, is LeaseEvent.OutcomeLost,
            -> LeaseStep(state)
        }

    private fun renew(state: LeaseState.Holding, nowMs: Long): LeaseStep {
        val row = state.lease.row
        return send(
            change(LeaseWriteKind.RENEW, state, state.lease, row.copy(renewals = row.renewals + 1), nowMs),
            state,
            nowMs,
        )
    }

    private fun release(lease: HeldLease, state: LeaseState, nowMs: Long): LeaseStep =
        send(change(LeaseWriteKind.RELEASE, state, lease, lease.row.copy(released = true), nowMs), state, nowMs)

    private fun change(
        kind: LeaseWriteKind,
        state: LeaseState,
        lease: HeldLease,
        row: LeaseRow,
        nowMs: Long,
    ): LeaseWrite =
        LeaseWrite(
            kind = kind,
            scope = scope,
            row = row.copy(nonce = nonce(state.writes)),
            expectedLeaseVersion = lease.leaseRowVersion,
            expectedEpochVersion = lease.authority.epochRowVersion,
            firstSentAtMs = nowMs,
            held = lease,
        )

    private fun send(write: LeaseWrite, state: LeaseState, nowMs: Long): LeaseStep =
        LeaseStep(
            LeaseState.Writing(write, releaseWhenSettled = false, state.writes + 1, retryAt(state, nowMs)),
            LeaseAction.Send(write),
        )

    private fun writing(state: LeaseState.Writing, event: LeaseEvent, nowMs: Long): LeaseStep =
        when (event) {
            is LeaseEvent.Tick -> if (nowMs >=
                state.nextAtMs
            ) {
                LeaseStep(state, LeaseAction.ReadRows)
            } else {
                LeaseStep(state)
            }
            is LeaseEvent.Written -> settled(state, event.version, event.version, nowMs)
            is LeaseEvent.Conflicted -> LeaseStep(state, LeaseAction.ReadRows)
            is LeaseEvent.RowsRead -> readBack(state, event, nowMs)
            is LeaseEvent.Release -> LeaseStep(state.copy(releaseWhenSettled = true))
            is LeaseEvent.Unreachable, is LeaseEvent.OutcomeLost ->
                LeaseStep(state.copy(nextAtMs = retryAt(state, nowMs)))
        }

    private fun readBack(state: LeaseState.Writing, read: LeaseEvent.RowsRead, nowMs: Long): LeaseStep {
        val version = read.lease.versionOrAbsent()
        val current = read.lease?.let { RowJson.decode<LeaseRow>(it.value) }
        return when {
            current?.nonce == state.write.row.nonce -> settled(state, version, read.epoch.versionOrAbsent(), nowMs)
            version == state.write.expectedLeaseVersion ->
                LeaseStep(state.copy(nextAtMs = retryAt(state, nowMs)), LeaseAction.Send(state.write))
            state.isReleasing() -> LeaseStep(LeaseState.Released(state.writes))
            else -> LeaseStep(LeaseState.Watching(version, nowMs, state.writes, retryAt(state, nowMs)))
        }
    }

    private fun settled(
        state: LeaseState.Writing,
        leaseVersion: Long,
        takenEpochVersion: Long,
        nowMs: Long,
    ): LeaseStep {
        val write = state.write
        if (write.kind == LeaseWriteKind.RELEASE) return LeaseStep(LeaseState.Released(state.writes))
        val lease = HeldLease(authorityOf(write, takenEpochVersion), write.row, leaseVersion)
        if (state.releaseWhenSettled) return release(lease, state, nowMs)
        val renewAtMs = nowMs + jitter.spread(settings.renewEveryMs, state.writes)
        val nextAtMs = if (lease.authority.mayAct(renewAtMs)) renewAtMs else nowMs
        return LeaseStep(LeaseState.Holding(lease, state.writes, nextAtMs))
    }

    private fun authorityOf(write: LeaseWrite, takenEpochVersion: Long): Authority =
        Authority(
            scope = scope,
            epoch = write.row.epoch,
            epochRowVersion = write.held?.authority?.epochRowVersion ?: takenEpochVersion,
            validUntilMs = write.firstSentAtMs + settings.durationMs - settings.marginMs,
        )

    private fun retryAt(state: LeaseState, nowMs: Long): Long =
        nowMs + jitter.spread(settings.retryMs, state.writes + nowMs)

    private fun nonce(count: Long): String = "$holder/$count"

    private fun Row?.versionOrAbsent(): Long = this?.version ?: Condition.ABSENT
}
