package org.medlarhook.entry.claim

import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableNames

/** An idempotency key within its scope, which is a workspace or, on a route that needs no key, a service. */
internal data class ClaimKey(
    val scope: String,
    val idempotencyKey: String,
) {
    /** Returns the key of the claim's row. */
    fun row(): RowKey = RowKey(TableNames.CLAIM, "$scope/$idempotencyKey")

    companion object {
        private val WELL_FORMED = Regex("[A-Za-z0-9._:-]{1,128}")

        /** True if [key] has 1 to 128 characters, all of them allowed in a row key. */
        fun isWellFormed(key: String): Boolean = WELL_FORMED.matches(key)
    }
}
