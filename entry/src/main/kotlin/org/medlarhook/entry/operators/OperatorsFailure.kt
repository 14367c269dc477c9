package org.medlarhook.entry.operators

import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.result.ResultCode

/** Why an operators' call failed; [changes] are what another operator wrote meanwhile. */
internal data class OperatorsFailure(
    val code: ResultCode,
    val detail: String = code.title,
    val errors: List<String> = emptyList(),
    val changes: List<DirectoryChange> = emptyList(),
)
