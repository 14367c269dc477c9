package org.medlarhook.core.membership

/**
 * Another entry as seen by this process. Each start of a process is a member of its own: a restarted entry has a new
 * identifier.
 *
 * @property registration its row, as read from the entry table or received from the entry itself.
 * @property knownSinceMs when this process discovered it.
 * @property hasDiscoveredSelf true if it has discovered this process: it has answered a call, or has registered later.
 * @property version the newest directory version that it has reported.
 * @property deregisteredAtMs when this process found its row deleted, or null.
 */
public data class EntryMember(
    val registration: EntryRegistration,
    val knownSinceMs: Long,
    val hasDiscoveredSelf: Boolean = false,
    val version: Long = 0,
    val deregisteredAtMs: Long? = null,
) {
    /** Identifier of this entry. */
    val entryId: String get() = registration.entryId

    /** Returns when this process found that the entry has stopped, or null if the entry may be running. */
    public fun stoppedAtMs(vms: VmListView): Long? =
        deregisteredAtMs ?: vms.droppedAtMs(registration.vmId, knownSinceMs)
}
