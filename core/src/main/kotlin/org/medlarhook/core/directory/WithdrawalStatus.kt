package org.medlarhook.core.directory

/** Whether a withdrawal is in force at every entry. */
public sealed interface WithdrawalStatus {
    /** It is. [stopped] names entries that have not confirmed, and that the rule keeps from serving keyed routes. */
    public data class InForce(
        val stopped: List<String>,
    ) : WithdrawalStatus

    /** It may not be, until these entries confirm or [remainingMs] have passed. */
    public data class Waiting(
        val waitingFor: List<String>,
        val remainingMs: Long,
    ) : WithdrawalStatus

    public companion object {
        /**
         * The status of the change [version], known to be written since [writtenAtMs], as [state] knows it.
         *
         * Entries that registered before the write are known once the entry table was read after it; later ones start
         * from the tables, and so with the change.
         */
        public fun of(state: ReplicaState, version: Long, writtenAtMs: Long, nowMs: Long): WithdrawalStatus {
            val lacking = state.entries.live(state.vms).filter { it.version < version }.map { it.entryId }
            val remainingMs = writtenAtMs + ReplicaSettings.WITHDRAWAL_BOUND_MS - nowMs
            val allKnown = (state.entries.readStartedAtMs ?: Long.MIN_VALUE) >= writtenAtMs
            val inForce = (lacking.isEmpty() && allKnown) || remainingMs <= 0
            return if (inForce) InForce(lacking) else Waiting(lacking, remainingMs)
        }
    }
}
