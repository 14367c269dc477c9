package org.medlarhook.core.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The entries that this entry knows of, itself not included.
 *
 * An entry registers, then reads all rows, then calls others. So a row that is missing from a read that started after
 * its first call means that the entry has stopped, and an entry that is missing from this entry's first read will
 * find this entry in its own.
 *
 * @property firstReadAtMs when the entry table was first read whole, or null.
 * @property readStartedAtMs when the newest read of the table started, or null.
 * @property isRegistered true if the newest read held this entry's own row.
 */
public data class EntryView(
    val selfId: String,
    val members: PersistentMap<String, EntryMember> = persistentMapOf(),
    val firstReadAtMs: Long? = null,
    val readStartedAtMs: Long? = null,
    val isRegistered: Boolean = false,
) {
    /** Takes in all rows of the entry table, read between [startedAtMs] and [nowMs]. */
    public fun withRows(rows: List<EntryRegistration>, startedAtMs: Long, nowMs: Long): EntryView {
        val byId = rows.associateBy { it.entryId }
        val earlier = if (firstReadAtMs == null) laterThanSelf(byId.keys) else members
        val withNew = (byId - selfId).values.fold(earlier) { all, row -> all.put(row.entryId, merged(row, nowMs)) }
        val stopped = withNew.values.filter { it.entryId !in byId && it.knownSinceMs < startedAtMs }
        return copy(
            members = stopped.fold(withNew) { all, member -> all.put(member.entryId, member.deregistered(nowMs)) },
            firstReadAtMs = firstReadAtMs ?: nowMs,
            readStartedAtMs = maxOf(readStartedAtMs ?: startedAtMs, startedAtMs),
            isRegistered = selfId in byId,
        )
    }

    /** Notes that [sender] has called this entry at [version]. */
    public fun withCaller(sender: EntryRegistration, version: Long, nowMs: Long): EntryView =
        update(sender, nowMs) { it.copy(version = maxOf(it.version, version)) }

    /** Notes that [sender] has answered this entry at [version]. */
    public fun withAnswer(sender: EntryRegistration, version: Long, nowMs: Long): EntryView =
        update(sender, nowMs) { it.copy(version = maxOf(it.version, version), knowsSelf = true) }

    /** Forgets the members that stopped before [beforeMs]. */
    public fun pruned(vms: VmListView, beforeMs: Long): EntryView {
        val old = members.values.filter { member -> member.stoppedAtMs(vms)?.let { it <= beforeMs } ?: false }
        val forgotten = old.filter { it.deregisteredAtMs != null }
        return copy(members = forgotten.fold(members) { all, member -> all.remove(member.entryId) })
    }

    /** The members that may be running. */
    public fun live(vms: VmListView): List<EntryMember> = members.values.filter { it.stoppedAtMs(vms) == null }

    private fun laterThanSelf(firstRead: Set<String>): PersistentMap<String, EntryMember> =
        members.values.filterNot { it.entryId in firstRead }.fold(members) { all, member ->
            all.put(member.entryId, member.copy(knowsSelf = true))
        }

    private fun unknown(registration: EntryRegistration, nowMs: Long) =
        EntryMember(registration, knownSinceMs = nowMs, knowsSelf = firstReadAtMs != null)

    private fun update(
        sender: EntryRegistration,
        nowMs: Long,
        change: (EntryMember) -> EntryMember,
    ): EntryView {
        if (sender.entryId == selfId) return this
        val known = members[sender.entryId] ?: unknown(sender, nowMs)
        return copy(members = members.put(sender.entryId, change(known)))
    }

    private fun merged(row: EntryRegistration, nowMs: Long): EntryMember {
        val known = members[row.entryId] ?: unknown(row, nowMs)
        return known.copy(registration = row, deregisteredAtMs = null)
    }

    private fun EntryMember.deregistered(nowMs: Long) = copy(deregisteredAtMs = deregisteredAtMs ?: nowMs)
}
