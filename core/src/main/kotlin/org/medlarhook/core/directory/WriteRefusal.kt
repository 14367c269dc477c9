package org.medlarhook.core.directory

/** Why an entry may not write the directory now. Nothing was written. */
public sealed interface WriteRefusal {
    /** The entry is not registered or doesn't reach the tables. */
    public data object Offline : WriteRefusal

    /** The entry reaches the tables again only since a moment ago. */
    public data class Delayed(
        val remainingMs: Long,
    ) : WriteRefusal

    /** These entries don't know this entry yet: they must answer it, or be stopped. */
    public data class UnknownToPeers(
        val entryIds: List<String>,
    ) : WriteRefusal
}
