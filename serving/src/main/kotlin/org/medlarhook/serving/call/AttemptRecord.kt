package org.medlarhook.serving.call

import org.medlarhook.serving.upstream.BodyFraming
import org.medlarhook.serving.upstream.ConnectionPosition

/**
 * The part of a request's log line that one attempt fills.
 *
 * @property text the attempt as [ExchangeRecord.attemptsText] lists it.
 * @property answerText the attempt as [ExchangeRecord.answersText] lists it, or null if it was not sent.
 */
internal class AttemptRecord(
    text: String,
) {
    var text: String = text
        private set
    var answerText: String? = null
        private set

    fun failed(reason: String) {
        text += "!$reason"
    }

    /** Records that the attempt was sent at [position]. */
    fun arrived(position: ConnectionPosition) {
        answerText = "$position"
    }

    /** Records the head of the answer, whatever is concluded from it. */
    fun answered(head: UpstreamHead, framing: BodyFraming) {
        val missingId = if (head.attemptId == null) "/no_id" else ""
        answerText += "=${head.status}/${framing.name.lowercase()}$missingId"
    }
}
