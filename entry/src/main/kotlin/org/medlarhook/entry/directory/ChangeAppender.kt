package org.medlarhook.entry.directory

import arrow.core.Either
import org.medlarhook.core.directory.AppendFailure
import org.medlarhook.core.directory.DirectoryChange

/** Appends changes to the log of the directory. */
internal fun interface ChangeAppender {
    /** Appends [change] and returns its version. */
    fun append(change: DirectoryChange): Either<AppendFailure, Long>
}
