package org.medlarhook.core.fuzz

import arrow.core.Either
import org.medlarhook.core.directory.AppendFailure
import org.medlarhook.core.directory.AuthorityBasis
import org.medlarhook.core.directory.AuthorityDecision
import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.directory.KeyGrant
import org.medlarhook.core.directory.WithdrawalStatus

/** Checks invariants, using only the commits in the tables and the answers of the entries. */
class FuzzOracle(
    private val simulation: DirectorySimulation,
    private val figures: FuzzFigures,
) {
    /** The entry that is writing to the tables at this moment, or null. */
    var writer: FuzzEntry? = null

    private val committedAtMs = linkedMapOf<Long, Long>()
    private val withdrawnAtMs = linkedMapOf<String, Long>()
    private val operations = mutableMapOf<String, Long>()
    private val acknowledged = mutableListOf<AcknowledgedWithdrawal>()
    private val refused = mutableSetOf<String>()

    fun onCommit(change: DirectoryChange, nowMs: Long) {
        verify(committedAtMs.put(change.version, nowMs) == null) { "version ${change.version} is written twice" }
        verify(operations.put(change.comment, change.version) == null) { "${change.comment} is written twice" }
        committedAtMs[change.version] = nowMs
        // If the writer has ended, no operator gets an acknowledgement, so the time limit does not apply.
        if (writer?.alive == true) {
            change.puts.filterIsInstance<KeyGrant>().filter { it.withdrawn }.forEach { key ->
                withdrawnAtMs.putIfAbsent(key.name, nowMs) ?: figures.withdrawals++
            }
        }
    }

    fun onResult(writer: FuzzEntry, change: DirectoryChange, result: Either<AppendFailure, Long>, nowMs: Long) {
        val keys = change.puts.filterIsInstance<KeyGrant>().map { it.name }
        if (result.isRight()) acknowledged += AcknowledgedWithdrawal(writer, change.version, keys, nowMs)
        val written = operations[change.comment]
        when (result.leftOrNull()) {
            null -> verify(written == result.getOrNull()) { "${change.comment} is acknowledged but not written" }
            is AppendFailure.OutcomeUnknown -> Unit
            else -> refused += change.comment
        }
    }

    fun check(nowMs: Long) {
        refused.forEach { verify(it !in operations) { "$it was refused but is written" } }
        checkDeclaredInForce(nowMs)
        simulation.entries.forEach { entry -> checkHealth(entry, nowMs) }
        simulation.entries.filter { it.running }.forEach { entry ->
            count(entry.decide(nowMs))
            checkWithdrawals(entry, nowMs)
            checkVersion(entry, nowMs)
        }
    }

    private fun count(decision: AuthorityDecision) {
        when (decision) {
            is AuthorityDecision.Refuse -> figures.refusals++
            is AuthorityDecision.Serve -> if (decision.basis == AuthorityBasis.COMMON_OUTAGE) figures.servedInOutage++
        }
    }

    /** Checks that no entry accepts a key whose withdrawal its writer has declared to be in force. */
    private fun checkDeclaredInForce(nowMs: Long) {
        val found = acknowledged.filter { it.writer.running && it.writer.inForce(it, nowMs) }
        found.forEach { withdrawal ->
            simulation.entries.filter { it.running && it.decide(nowMs) is AuthorityDecision.Serve }.forEach { entry ->
                val accepts = withdrawal.keys.any { entry.state.directory.keys[it]?.withdrawn == false }
                verify(!accepts) { "${entry.id} accepts a key whose withdrawal was declared in force" }
            }
        }
        acknowledged.removeAll(found)
    }

    private fun FuzzEntry.inForce(withdrawal: AcknowledgedWithdrawal, nowMs: Long): Boolean {
        val atMs = clockMs(withdrawal.writtenAtMs)
        return rules.status(state, withdrawal.version, atMs, clockMs(nowMs)) is WithdrawalStatus.InForce
    }

    private class AcknowledgedWithdrawal(
        val writer: FuzzEntry,
        val version: Long,
        val keys: List<String>,
        val writtenAtMs: Long,
    )

    private fun checkWithdrawals(entry: FuzzEntry, nowMs: Long) {
        val keys = entry.state.directory.keys
        val accepted = withdrawnAtMs.filterKeys { keys[it]?.withdrawn == false }
        if (accepted.isEmpty() || entry.decide(nowMs) !is AuthorityDecision.Serve) return
        accepted.forEach { (key, atMs) ->
            figures.lastAcceptanceMs = maxOf(figures.lastAcceptanceMs, nowMs - atMs)
            verify(nowMs - atMs <= WITHDRAWAL_MS) { "${entry.id} accepts $key ${nowMs - atMs} ms after its withdrawal" }
        }
    }

    private fun checkVersion(entry: FuzzEntry, nowMs: Long) {
        val version = entry.state.directory.version
        verify(version >= entry.highestVersion) { "${entry.id} reverted from ${entry.highestVersion} to $version" }
        if (version > entry.highestVersion) recordInForceTime(entry, entry.highestVersion + 1..version, nowMs)
        entry.highestVersion = version
        val due =
            committedAtMs.filterValues { maxOf(it, entry.unhealthyAtMs) + IN_FORCE_MS <= nowMs }.keys.maxOrNull() ?: 0
        verify(version >= due) { "${entry.id} is at version $version, but $due was committed $IN_FORCE_MS ms ago" }
    }

    private fun recordInForceTime(entry: FuzzEntry, versions: LongRange, nowMs: Long) =
        versions.mapNotNull { committedAtMs[it] }.filter { it > entry.unhealthyAtMs }.forEach {
            figures.inForceMs = maxOf(figures.inForceMs, nowMs - it)
        }

    /**
     * Updates [FuzzEntry.unhealthyAtMs]. An entry is healthy if it runs and is connected. It is connected if it reaches
     * the tables, or if it once reached them for [JOIN_MS] and now has a link to a peer that reaches them.
     */
    private fun checkHealth(entry: FuzzEntry, nowMs: Long) {
        if (!entry.reachesTables) entry.cutAtMs = nowMs
        entry.joined = entry.joined || nowMs - entry.cutAtMs >= JOIN_MS
        val throughPeer = simulation.entries.any { it.reachesTables && simulation.links.areConnected(entry.id, it.id) }
        val connected = entry.reachesTables || (entry.joined && throughPeer)
        if (!entry.running || !connected) entry.unhealthyAtMs = nowMs
    }

    private inline fun verify(holds: Boolean, message: () -> String) {
        if (!holds) throw AssertionError("at ${simulation.nowMs} ms: ${message()}")
    }

    private companion object {
        const val WITHDRAWAL_MS = 5_000L
        const val JOIN_MS = 6_000L
        const val IN_FORCE_MS = 14_000L
    }
}
