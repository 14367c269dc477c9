package org.medlarhook.entry.claim

import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableNames

/** An idempotency key within its scope: a workspace, or a service on an open route. */
internal data class ClaimKey(
    val scope: String,
    val idempotencyKey: String,
) {
    /** The row of the key. */
    fun row(): RowKey = RowKey(TableNames.CLAIM, "$scope/$idempotencyKey")

    companion object {
        private val WELL_FORMED = Regex("[A-Za-z0-9._:-]{1,128}")

        /** True if [key] may stand in a row's key. */
        fun isWellFormed(key: String): Boolean = WELL_FORMED.matches(key)
    }
}
