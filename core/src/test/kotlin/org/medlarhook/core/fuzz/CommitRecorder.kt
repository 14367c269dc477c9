package org.medlarhook.core.fuzz

import arrow.core.Either
import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.directory.DirectoryJson
import org.medlarhook.ports.Committed
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction

/** Table service that calls [onCommit] for each change of the directory when it takes effect. */
class CommitRecorder(
    private val target: TableService,
    private val onCommit: (DirectoryChange) -> Unit,
) : TableService by target {
    override fun transact(transaction: Transaction): Either<TableFailure, Committed> =
        target.transact(transaction).onRight {
            transaction.writes
                .filter { it.key.table == TableNames.DIRECTORY_CHANGE }
                .forEach { write -> write.value?.let { onCommit(DirectoryJson.decodeChange(it)) } }
        }
}
