package org.medlarhook.core.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The other entries that this entry has discovered.
 *
 * An entry registers, then reads all rows, then calls others. So if a row is missing from a read that started after
 * the first call of its entry, that entry has stopped. An entry that is missing from this entry's first read finds
 * this entry in its own first read.
 *
 * @property firstReadAtMs when the first read of the whole entry table was completed, or null.
 * @property readStartedAtMs when the newest read of the entry table started, or null.
 * @property isRegistered true if the newest read contained the row of this entry itself.
 */
public data class EntryView(
    val selfId: String,
    val members: PersistentMap<String, EntryMember> = persistentMapOf(),
    val firstReadAtMs: Long? = null,
    val readStartedAtMs: Long? = null,
    val isRegistered: Boolean = false,
) {
    /** Returns the view after a read of the whole entry table between [startedAtMs] and [nowMs]. */
    public fun withRows(rows: List<EntryRegistration>, startedAtMs: Long, nowMs: Long): EntryView {
        val byId = rows.associateBy { it.entryId }
        val discovered = if (firstReadAtMs == null) withLaterStarts(byId.keys) else members
        val withNew = (byId - selfId).values.fold(discovered) { all, row -> all.put(row.entryId, merged(row, nowMs)) }
        val stopped = withNew.values.filter { it.entryId !in byId && it.knownSinceMs < startedAtMs }
        return copy(
            members = stopped.fold(withNew) { all, member -> all.put(member.entryId, member.deregistered(nowMs)) },
            firstReadAtMs = firstReadAtMs ?: nowMs,
            readStartedAtMs = maxOf(readStartedAtMs ?: startedAtMs, startedAtMs),
            isRegistered = selfId in byId,
        )
    }

    /** Returns the view after a call from [sender], which was at [version]. */
    public fun withCaller(sender: EntryRegistration, version: Long, nowMs: Long): EntryView =
        update(sender, nowMs) { it.copy(version = maxOf(it.version, version)) }

    /** Returns the view after an answer from [sender], which was at [version]. */
    public fun withAnswer(sender: EntryRegistration, version: Long, nowMs: Long): EntryView =
        update(sender, nowMs) { it.copy(version = maxOf(it.version, version), hasDiscoveredSelf = true) }

    /** Removes the deregistered members that stopped at or before [untilMs]. */
    public fun pruned(vms: VmListView, untilMs: Long): EntryView {
        val stopped = members.values.filter { member -> member.stoppedAtMs(vms)?.let { it <= untilMs } ?: false }
        val removable = stopped.filter { it.deregisteredAtMs != null }
        return copy(members = removable.fold(members) { all, member -> all.remove(member.entryId) })
    }

    /** Returns the members that may be running. */
    public fun live(vms: VmListView): List<EntryMember> = members.values.filter { it.stoppedAtMs(vms) == null }

    private fun withLaterStarts(firstRead: Set<String>): PersistentMap<String, EntryMember> =
        members.values.filterNot { it.entryId in firstRead }.fold(members) { all, member ->
            all.put(member.entryId, member.copy(hasDiscoveredSelf = true))
        }

    private fun newMember(registration: EntryRegistration, nowMs: Long) =
        EntryMember(registration, knownSinceMs = nowMs, hasDiscoveredSelf = firstReadAtMs != null)

    private fun update(
        sender: EntryRegistration,
        nowMs: Long,
        change: (EntryMember) -> EntryMember,
    ): EntryView {
        if (sender.entryId == selfId) return this
        val known = members[sender.entryId] ?: newMember(sender, nowMs)
        return copy(members = members.put(sender.entryId, change(known)))
    }

    private fun merged(row: EntryRegistration, nowMs: Long): EntryMember {
        val known = members[row.entryId] ?: newMember(row, nowMs)
        return known.copy(registration = row, deregisteredAtMs = null)
    }

    private fun EntryMember.deregistered(nowMs: Long) = copy(deregisteredAtMs = deregisteredAtMs ?: nowMs)
}
