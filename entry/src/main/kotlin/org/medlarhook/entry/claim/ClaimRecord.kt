package org.medlarhook.entry.claim

import kotlinx.serialization.Serializable
import org.medlarhook.core.call.CallHeader
import org.medlarhook.core.claim.ClaimState

/**
 * A claim as it is stored in its row.
 *
 * @property writtenAtMs wall-clock time of the writer; used for expiry only.
 */
@Serializable
internal data class ClaimRecord(
    val digestHex: String,
    val attemptId: String,
    val upstreamId: String,
    val address: String,
    val incarnation: Long,
    val state: ClaimState,
    val writtenAtMs: Long,
    val answer: AnswerRecord? = null,
)

/** A recorded answer; the body is in the row or, if too large, in the object [objectName]. */
@Serializable
internal data class AnswerRecord(
    val status: Int,
    val headers: List<CallHeader> = emptyList(),
    val bodyBase64: String? = null,
    val objectName: String? = null,
)
