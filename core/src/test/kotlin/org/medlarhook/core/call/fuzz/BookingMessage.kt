package org.medlarhook.core.call.fuzz

import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.claim.AtMostOnceEvent
import org.medlarhook.core.claim.Claim

/** A message in flight between entries, sidecars and tables. */
internal sealed interface BookingMessage {
    /** The number of the request that the message belongs to. */
    val request: Int

    data class Call(
        override val request: Int,
        val key: String?,
        val attempt: AttemptRef,
    ) : BookingMessage

    data class Answer(
        override val request: Int,
        val attemptId: String,
        val answer: CallAnswer,
    ) : BookingMessage

    data class SealRequest(
        override val request: Int,
        val attempt: AttemptRef,
    ) : BookingMessage

    data class ClaimWrite(
        override val request: Int,
        val key: String,
        val claim: Claim,
        val expectedVersion: Long,
    ) : BookingMessage

    data class ClaimRead(
        override val request: Int,
        val key: String,
    ) : BookingMessage

    data class ToEntry(
        override val request: Int,
        val event: AtMostOnceEvent,
    ) : BookingMessage
}
