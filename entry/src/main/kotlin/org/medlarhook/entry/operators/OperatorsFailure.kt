package org.medlarhook.entry.operators

import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.result.ResultCode

/**
 * Why a call of an operator failed.
 *
 * @property errors what is invalid in the requested change.
 * @property changes the changes that caused a conflict, made by other operators since the base version.
 */
internal data class OperatorsFailure(
    val code: ResultCode,
    val detail: String = code.title,
    val errors: List<String> = emptyList(),
    val changes: List<DirectoryChange> = emptyList(),
)
