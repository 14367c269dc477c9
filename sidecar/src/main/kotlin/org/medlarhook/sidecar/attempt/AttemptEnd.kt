package org.medlarhook.sidecar.attempt

import org.medlarhook.core.result.ResultCode
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.UpstreamLoad

/**
 * The result of an attempt that ran.
 *
 * @property code why the attempt failed; null if it was answered in full.
 * @property retainedAnswer the answer that a later seal request returns, or null.
 * @property deliver sends the final answer together with the given load report.
 */
internal class AttemptEnd(
    val code: ResultCode?,
    val retainedAnswer: ServiceAnswer?,
    val deliver: (UpstreamLoad) -> Unit,
)
