package org.medlarhook.entry.control

import kotlinx.serialization.json.Json
import org.medlarhook.core.lease.LeaseCandidates
import org.medlarhook.core.lease.LeaseScope
import org.medlarhook.core.membership.EntryRegistration
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService

/** A periodically refreshed copy of the registered entries. It may be stale; safety does not depend on it. */
internal class EntryMembers(
    private val entryId: String,
    private val tables: TableService,
) {
    @Volatile
    private var members = emptyMap<String, EntryRegistration>()

    /** Reads the first page of registrations, which contains all entries of a deployment at its target size. */
    fun refresh() {
        tables.scan(TableNames.ENTRY).onRight { rows ->
            val read = rows.map { JSON.decodeFromString(EntryRegistration.serializer(), it.value) }
            members = read.associateBy { it.entryId }
        }
    }

    /** Returns the data centres that have entries. */
    fun dataCentres(): Set<String> = members.values.map { it.dataCentre }.toSet()

    /**
     * True if this entry is one of the [CANDIDATE_COUNT] candidates for the lease on [scope], a scope of [dataCentre].
     * Candidates are chosen among the entries of that data centre, or among all entries if it has none. As long as no
     * registration was read, every entry is a candidate.
     */
    fun isCandidate(scope: LeaseScope, dataCentre: String): Boolean {
        val local = members.values.filter { it.dataCentre == dataCentre }.map { it.entryId }.toSet()
        val eligible = local.ifEmpty { members.keys }
        return eligible.isEmpty() || LeaseCandidates.isCandidate(scope, entryId, eligible, CANDIDATE_COUNT)
    }

    /** Returns the address of the listener for peers of [entryId], or null if that entry is not registered. */
    fun peerAddress(entryId: String): String? = members[entryId]?.peerAddress

    private companion object {
        const val CANDIDATE_COUNT = 3
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
