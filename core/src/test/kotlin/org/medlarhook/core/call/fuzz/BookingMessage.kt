package org.medlarhook.core.call.fuzz

import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.claim.AtMostOnceEvent
import org.medlarhook.core.claim.Claim

/** What is on its way between entries, sidecars and tables. */
internal sealed interface BookingMessage {
    /** The request that it was sent for. */
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

    data class SealQuestion(
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
