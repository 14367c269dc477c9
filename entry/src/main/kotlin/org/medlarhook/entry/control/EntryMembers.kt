package org.medlarhook.entry.control

import kotlinx.serialization.json.Json
import org.medlarhook.core.lease.LeaseCandidates
import org.medlarhook.core.lease.LeaseScope
import org.medlarhook.core.membership.EntryRegistration
import org.medlarhook.platform.TableNames
import org.medlarhook.platform.TableService

/** The registered entries, read now and then. What it says may be old; safety does not depend on it. */
internal class EntryMembers(
    private val entryId: String,
    private val dataCentre: String,
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

    /** Says whether this entry is one of the few that watch [scope]. Without registrations every entry is. */
    fun isCandidate(scope: LeaseScope): Boolean {
        val near = members.values.filter { it.dataCentre == dataCentre }.map { it.entryId }.toSet()
        return entryId !in near || LeaseCandidates.isCandidate(scope, entryId, near, CANDIDATES)
    }

    /** The address of an entry's listener towards its peers, if it is registered. */
    fun peerAddress(entryId: String): String? = members[entryId]?.peerAddress

    private companion object {
        const val CANDIDATES = 3
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
