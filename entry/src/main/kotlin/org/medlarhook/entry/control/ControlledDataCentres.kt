package org.medlarhook.entry.control

import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService

/** Determines which data centres an entry controls: its own, and those that have upstreams but no entry. */
internal class ControlledDataCentres(
    private val ownDataCentre: String,
    private val tables: TableService,
    private val members: EntryMembers,
) {
    /** Reads the tables. At most [MAX_WITHOUT_ENTRIES] data centres without entries are returned. */
    fun read(): Set<String> {
        val withoutEntries = withUpstreams() - members.dataCentres() - ownDataCentre
        return setOf(ownDataCentre) + withoutEntries.take(MAX_WITHOUT_ENTRIES)
    }

    /** Finds each data centre with a scan for one row, which starts after all keys of the previous data centre. */
    private fun withUpstreams(): Set<String> {
        val found = linkedSetOf<String>()
        var afterKey = ""
        while (found.size < MAX_DATA_CENTRES) {
            val rows = tables.scan(TableNames.UPSTREAM, afterKey = afterKey, limit = 1).getOrNull().orEmpty()
            val name = rows.firstOrNull()?.key?.key?.substringBefore('/') ?: break
            found += name
            afterKey = "$name/$MAX_KEY_CHAR"
        }
        return found
    }

    private companion object {
        const val MAX_DATA_CENTRES = 64
        const val MAX_WITHOUT_ENTRIES = 8
        const val MAX_KEY_CHAR = '\uffff'
    }
}
