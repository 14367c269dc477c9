package org.medlarhook.entry.control

import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService

/** Tells which data centres an entry looks after: its own, and those that have upstreams but no entry. */
internal class ControlledDataCentres(
    private val own: String,
    private val tables: TableService,
    private val members: EntryMembers,
) {
    /** Reads the tables; of data centres without entries only the first few are returned. */
    fun read(): Set<String> {
        val orphans = withUpstreams() - members.dataCentres() - own
        return setOf(own) + orphans.take(MAX_ORPHANS)
    }

    /** Finds each data centre by one read that starts behind the last one's keys. */
    private fun withUpstreams(): Set<String> {
        val found = linkedSetOf<String>()
        var afterKey = ""
        while (found.size < MAX_DATA_CENTRES) {
            val rows = tables.scan(TableNames.UPSTREAM, afterKey = afterKey, limit = 1).getOrNull().orEmpty()
            val name = rows.firstOrNull()?.key?.key?.substringBefore('/') ?: break
            found += name
            afterKey = "$name/$AFTER_ALL"
        }
        return found
    }

    private companion object {
        const val MAX_DATA_CENTRES = 64
        const val MAX_ORPHANS = 8
        const val AFTER_ALL = '\uffff'
    }
}
