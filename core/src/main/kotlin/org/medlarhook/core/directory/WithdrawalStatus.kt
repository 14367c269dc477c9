package org.medlarhook.core.directory

/** Whether the withdrawal of a key is in force at every entry. */
public sealed interface WithdrawalStatus {
    /**
     * No entry accepts the key any more.
     *
     * @property stopped entries that have not confirmed the change, and that [AuthorityPolicy] therefore keeps from
     * serving keyed routes.
     */
    public data class InForce(
        val stopped: List<String>,
    ) : WithdrawalStatus

    /** Some entry may still accept the key until the entries in [waitingFor] confirm or [remainingMs] have passed. */
    public data class Waiting(
        val waitingFor: List<String>,
        val remainingMs: Long,
    ) : WithdrawalStatus

    public companion object {
        /**
         * Returns the status, according to [state], of the change [version], which was written by [writtenAtMs].
         *
         * A read of the entry table that started after the write lists all entries that registered before it. Entries
         * that register later start from the tables, which include the change.
         */
        public fun of(state: ReplicaState, version: Long, writtenAtMs: Long, nowMs: Long): WithdrawalStatus {
            val unconfirmed = state.entries.live(state.vms).filter { it.version < version }.map { it.entryId }
            val remainingMs = writtenAtMs + ReplicaSettings.WITHDRAWAL_BOUND_MS - nowMs
            val allListed = (state.entries.readStartedAtMs ?: Long.MIN_VALUE) >= writtenAtMs
            val inForce = (unconfirmed.isEmpty() && allListed) || remainingMs <= 0
            return if (inForce) InForce(unconfirmed) else Waiting(unconfirmed, remainingMs)
        }
    }
}
