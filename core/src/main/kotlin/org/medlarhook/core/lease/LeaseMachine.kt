package org.medlarhook.core.lease

import org.medlarhook.core.row.RowJson
import org.medlarhook.ports.Condition
import org.medlarhook.ports.Row

/**
 * State machine by which one process acquires, renews and releases one lease.
 *
 * The holder measures the lease from before its renewal was sent. A successor measures from when it last saw the row
 * change, which is after the renewal took effect, and waits for [LeaseSettings.takeOverAfterMs]. So two holders never
 * overlap as long as the rates of their clocks differ by less than the margin. After a lost answer the process reads
 * the row and recognises its own write by the nonce. If the row is unchanged, it sends the same transaction again; its
 * conditions let only one copy take effect.
 *
 * Without a row the lease is free, except in a later era of the tables: a holder of the era before may not know yet
 * that its row is gone. Its last renewal is from before the row was first seen missing, so the same wait applies.
 */
public class LeaseMachine(
    private val scope: LeaseScope,
    private val holder: String,
    private val settings: LeaseSettings,
) {
    private val jitter = Jitter(settings.jitterPercent, "$holder/${scope.name}")

    /** Returns the initial state of a process that starts at [nowMs]. */
    public fun start(nowMs: Long): LeaseState =
        LeaseState.Watching(Condition.ABSENT, null, 0, nowMs + jitter.spread(settings.retryMs, 0))

    /** Returns the state at [nowMs] in the first rows of a new era, in which nothing is held, after [earlier]. */
    public fun restart(earlier: LeaseState, nowMs: Long): LeaseState =
        if (earlier is LeaseState.Released || earlier is LeaseState.Writing && earlier.isReleasing()) {
            LeaseState.Released(earlier.writes)
        } else {
            LeaseState.Watching(Condition.ABSENT, null, earlier.writes, nowMs + jitter.spread(settings.retryMs, 0))
        }

    /**
     * Returns [state] with the lease measured from [stoodStillMs] earlier: the monotonic clock has not counted that
     * time, in which the lease went on.
     */
    public fun resumed(state: LeaseState, stoodStillMs: Long): LeaseState =
        when (state) {
            is LeaseState.Watching, is LeaseState.Released -> state
            is LeaseState.Holding ->
                state.copy(lease = state.lease.measuredEarlier(stoodStillMs), nextAtMs = state.nextAtMs - stoodStillMs)
            is LeaseState.Writing ->
                state.copy(
                    write = state.write.copy(
                        firstSentAtMs = state.write.firstSentAtMs - stoodStillMs,
                        held = state.write.held?.measuredEarlier(stoodStillMs),
                    ),
                )
        }

    private fun HeldLease.measuredEarlier(byMs: Long): HeldLease =
        copy(authority = authority.copy(validUntilMs = authority.validUntilMs - byMs))

    /** Returns the next state and action after [event] at [nowMs]. */
    public fun next(state: LeaseState, event: LeaseEvent, nowMs: Long): LeaseStep =
        when (state) {
            is LeaseState.Watching -> onWatching(state, event, nowMs)
            is LeaseState.Writing -> onWriting(state, event, nowMs)
            is LeaseState.Holding -> onHolding(state, event, nowMs)
            is LeaseState.Released -> LeaseStep(state)
        }

    /** Returns the authority of a holder, which may have expired, or null if [state] is not that of a holder. */
    public fun authority(state: LeaseState): Authority? =
        when (state) {
            is LeaseState.Holding -> state.lease.authority
            is LeaseState.Writing -> state.write.held?.authority?.takeUnless { state.isReleasing() }
            is LeaseState.Watching, is LeaseState.Released -> null
        }

    private fun LeaseState.Writing.isReleasing(): Boolean = releaseWhenSettled || write.kind == LeaseWriteKind.RELEASE

    private fun onWatching(state: LeaseState.Watching, event: LeaseEvent, nowMs: Long): LeaseStep =
        when (event) {
            is LeaseEvent.Tick ->
                if (nowMs >= state.nextAtMs) {
                    LeaseStep(state, LeaseAction.ReadRows)
                } else {
                    LeaseStep(state)
                }
            is LeaseEvent.RowsRead -> afterWatchRead(state, event, nowMs)
            is LeaseEvent.Release -> LeaseStep(LeaseState.Released(state.writes))
            is LeaseEvent.Unreachable -> LeaseStep(state.copy(nextAtMs = retryAt(state, nowMs)))
            is LeaseEvent.Written, is LeaseEvent.Conflicted, is LeaseEvent.OutcomeLost -> LeaseStep(state)
        }

    /** True if the epoch row must be read after [lease]. A waiting process needs it only to acquire a free lease. */
    public fun needsEpoch(state: LeaseState, lease: Row?, nowMs: Long): Boolean =
        state !is LeaseState.Watching || isFree(state, lease, nowMs)

    private fun isFree(state: LeaseState.Watching, lease: Row?, nowMs: Long): Boolean {
        val current = lease?.let { RowJson.decode<LeaseRow>(it.value) }
        val isUnclaimed = current?.released ?: (scope.tableEra == 0L)
        return isUnclaimed || nowMs - sinceMs(state, lease, nowMs) >= settings.takeOverAfterMs
    }

    private fun sinceMs(state: LeaseState.Watching, lease: Row?, nowMs: Long): Long =
        state.unchangedSinceMs?.takeIf { lease.versionOrAbsent() == state.seenVersion } ?: nowMs

    private fun afterWatchRead(state: LeaseState.Watching, read: LeaseEvent.RowsRead, nowMs: Long): LeaseStep {
        val version = read.lease.versionOrAbsent()
        val sinceMs = sinceMs(state, read.lease, nowMs)
        if (isFree(state, read.lease, nowMs) && read.mayAcquire) return acquire(state, read, nowMs)
        val takeOverAtMs = (sinceMs + settings.takeOverAfterMs).takeIf { it > nowMs } ?: Long.MAX_VALUE
        val nextAtMs = minOf(nowMs + jitter.spread(settings.watchEveryMs, nowMs), takeOverAtMs)
        return LeaseStep(LeaseState.Watching(version, sinceMs, state.writes, nextAtMs))
    }

    private fun acquire(state: LeaseState.Watching, read: LeaseEvent.RowsRead, nowMs: Long): LeaseStep {
        val lastEpoch = read.epoch?.let { RowJson.decode<EpochRow>(it.value).epoch } ?: scope.epochBefore
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

    private fun onHolding(state: LeaseState.Holding, event: LeaseEvent, nowMs: Long): LeaseStep =
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
            writeOf(LeaseWriteKind.RENEW, state, state.lease, row.copy(renewals = row.renewals + 1), nowMs),
            state,
            nowMs,
        )
    }

    private fun release(lease: HeldLease, state: LeaseState, nowMs: Long): LeaseStep =
        send(writeOf(LeaseWriteKind.RELEASE, state, lease, lease.row.copy(released = true), nowMs), state, nowMs)

    private fun writeOf(
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

    private fun onWriting(state: LeaseState.Writing, event: LeaseEvent, nowMs: Long): LeaseStep =
        when (event) {
            is LeaseEvent.Tick ->
                if (nowMs >= state.nextAtMs) {
                    LeaseStep(state, LeaseAction.ReadRows)
                } else {
                    LeaseStep(state)
                }
            is LeaseEvent.Written -> afterWrite(state, event.version, event.version, nowMs)
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
            current?.nonce == state.write.row.nonce -> afterWrite(state, version, read.epoch.versionOrAbsent(), nowMs)
            version == state.write.expectedLeaseVersion ->
                LeaseStep(state.copy(nextAtMs = retryAt(state, nowMs)), LeaseAction.Send(state.write))
            state.isReleasing() -> LeaseStep(LeaseState.Released(state.writes))
            else -> LeaseStep(LeaseState.Watching(version, nowMs, state.writes, retryAt(state, nowMs)))
        }
    }

    private fun afterWrite(
        state: LeaseState.Writing,
        leaseVersion: Long,
        newEpochVersion: Long,
        nowMs: Long,
    ): LeaseStep {
        val write = state.write
        if (write.kind == LeaseWriteKind.RELEASE) return LeaseStep(LeaseState.Released(state.writes))
        val lease = HeldLease(authorityOf(write, newEpochVersion), write.row, leaseVersion)
        if (state.releaseWhenSettled) return release(lease, state, nowMs)
        val renewAtMs = nowMs + jitter.spread(settings.renewEveryMs, state.writes)
        val nextAtMs = if (lease.authority.mayAct(renewAtMs)) renewAtMs else nowMs
        return LeaseStep(LeaseState.Holding(lease, state.writes, nextAtMs))
    }

    private fun authorityOf(write: LeaseWrite, newEpochVersion: Long): Authority =
        Authority(
            scope = scope,
            epoch = write.row.epoch,
            epochRowVersion = write.held?.authority?.epochRowVersion ?: newEpochVersion,
            validUntilMs = write.firstSentAtMs + settings.durationMs - settings.marginMs,
        )

    private fun retryAt(state: LeaseState, nowMs: Long): Long =
        nowMs + jitter.spread(settings.retryMs, state.writes + nowMs)

    private fun nonce(count: Long): String = "$holder/$count"

    private fun Row?.versionOrAbsent(): Long = this?.version ?: Condition.ABSENT
}
