package org.medlarhook.entry.operators

import arrow.core.Either
import org.medlarhook.core.directory.DirectoryReader
import org.medlarhook.core.directory.DirectoryState
import org.medlarhook.ports.TableFailure

/** The directory as it is in the tables, for operators' calls. Each call reads only changes that are new. */
internal class LatestDirectory(
    private val reader: DirectoryReader,
) {
    private var state = DirectoryState()

    /** Reads the new changes and returns the newest state. */
    @Synchronized
    fun refresh(): Either<TableFailure, DirectoryState> {
        while (true) {
            val page = reader.poll(state.version).fold({ return Either.Left(it) }, { it })
            val before = state.version
            page.snapshot?.takeIf { it.version > state.version }?.let { state = it }
            state = state.applyAll(page.changes)
            if (state.version >= page.headVersion || state.version == before) return Either.Right(state)
        }
    }
}
