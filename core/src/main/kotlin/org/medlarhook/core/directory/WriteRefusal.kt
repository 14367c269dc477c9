package org.medlarhook.core.directory

/** Why an entry may not write the directory now. Nothing was written. */
public sealed interface WriteRefusal {
    /** The entry is not registered or does not reach the tables. */
    public data object TablesUnreachable : WriteRefusal

    /** The entry has reported for too short a time that it reaches the tables. It may write after [remainingMs]. */
    public data class Delayed(
        val remainingMs: Long,
    ) : WriteRefusal

    /** The entries in [entryIds] have not discovered this entry yet. They must answer its exchange, or stop. */
    public data class UnknownToPeers(
        val entryIds: List<String>,
    ) : WriteRefusal
}
