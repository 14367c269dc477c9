package org.medlarhook.serving.allowance

/** The other serving processes, as far as they are told of the use of allowances. */
internal fun interface AllowancePeers {
    /** Tells all of them [report]. */
    fun tell(report: AllowanceReport)
}
