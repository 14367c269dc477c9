package org.medlarhook.sidecar.attempt

import org.medlarhook.core.result.ResultCode
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.UpstreamLoad

/**
 * The end of an attempt that ran.
 *
 * @property code null if it was answered in full.
 * @property retained the answer that a later seal returns, or null.
 * @property deliver sends the final answer with the load at that time.
 */
internal class AttemptEnd(
    val code: ResultCode?,
    val retained: ServiceAnswer?,
    val deliver: (UpstreamLoad) -> Unit,
)
