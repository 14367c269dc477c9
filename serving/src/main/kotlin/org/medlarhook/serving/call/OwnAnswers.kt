package org.medlarhook.serving.call

import io.netty.buffer.Unpooled
import org.medlarhook.core.result.ResultCode

/** Answers one request without an upstream's answer. */
internal class OwnAnswers(
    private val format: CallFormat,
    private val call: CallerCall,
    private val caller: Caller,
    private val record: ExchangeRecord,
) {
    /** Sends the caller [code], and when to retry if [retryAfterMs] is not null. */
    fun answer(code: ResultCode, retryAfterMs: Long?) {
        val headers = format.ownHeaders(call, retryAfterMs)
        val text = Unpooled.copiedBuffer("${code.number} ${code.title}\n", Charsets.UTF_8)
        record.retryAfterMs = retryAfterMs
        caller.answer(code.httpStatus, headers, text)
    }
}
