package org.medlarhook.core.membership

/**
 * An entry as another entry knows it. One member is one start of a process: a restarted entry has a new identifier.
 *
 * @property registration its row, as read or as told by itself.
 * @property knownSinceMs when this process first heard of it.
 * @property knowsSelf true if it knows this process: it has answered a call, or has registered later.
 * @property version the newest directory version that it is known to have.
 * @property deregisteredAtMs when this process saw that its row is gone, or null.
 */
public data class EntryMember(
    val registration: EntryRegistration,
    val knownSinceMs: Long,
    val knowsSelf: Boolean = false,
    val version: Long = 0,
    val deregisteredAtMs: Long? = null,
) {
    /** Its identifier. */
    val entryId: String get() = registration.entryId

    /** Returns since when this entry is known to have stopped, or null if it may be running. */
    public fun stoppedAtMs(vms: VmListView): Long? =
        deregisteredAtMs ?: vms.droppedAtMs(registration.vmId, knownSinceMs)
}
