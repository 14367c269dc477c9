package org.medlarhook.entry.control

import kotlinx.serialization.json.Json
import org.medlarhook.core.lease.LeaseCandidates
import org.medlarhook.core.lease.LeaseScope
import org.medlarhook.core.membership.EntryRegistration
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService

/** The registered entries, read now and then. What it says may be old; safety does not depend on it. */
internal class EntryMembers(
    private val entryId: String,
    private val tables: TableService,
) {
    @Volatile
    private var members = emptyMap<String, EntryRegistration>()

    /** Reads the registrations of the first page, which holds all entries at the target size. */
    fun refresh() {
        tables.scan(TableNames.ENTRY).onRight { rows ->
            val read = rows.map { JSON.decodeFromString(EntryRegistration.serializer(), it.value) }
            members = read.associateBy { it.entryId }
        }
    }

    /** The data centres that have entries. */
    fun dataCentres(): Set<String> = members.values.map { it.dataCentre }.toSet()

    /**
     * Says whether this entry is one of the few that watch [scope], a scope of [dataCentre]. The entries of that data
     * centre come first; without any, all entries are asked. Without registrations every entry is a candidate.
     */
    fun isCandidate(scope: LeaseScope, dataCentre: String): Boolean {
        val near = members.values.filter { it.dataCentre == dataCentre }.map { it.entryId }.toSet()
        val asked = near.ifEmpty { members.keys }
        return asked.isEmpty() || LeaseCandidates.isCandidate(scope, entryId, asked, CANDIDATES)
    }

    /** The address of an entry's listener towards its peers, if it is registered. */
    fun peerAddress(entryId: String): String? = members[entryId]?.peerAddress

    private companion object {
        const val CANDIDATES = 3
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
