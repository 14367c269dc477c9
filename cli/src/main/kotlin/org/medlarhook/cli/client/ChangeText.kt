package org.medlarhook.cli.client

import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.directory.kind

/** Returns one line with the comment of [change] and the objects that it put and deleted. */
internal fun describe(change: DirectoryChange): String {
    val puts = change.puts.map { "put ${it.kind.label} ${it.name}" }
    val deletes = change.deletes.map { "delete ${it.kind} ${it.name}" }
    val comment = change.comment.takeIf { it.isNotEmpty() }?.let { "$it: " }.orEmpty()
    return comment + (puts + deletes).joinToString()
}
