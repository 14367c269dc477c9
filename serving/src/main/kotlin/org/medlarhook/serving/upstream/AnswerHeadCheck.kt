package org.medlarhook.serving.upstream

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import org.medlarhook.core.serving.answer.HeadCheck

/**
 * Recognises heads that are not those of one answer: see [HeadCheck].
 *
 * @param singleHeaders names of the headers that an answer has at most once.
 */
internal class AnswerHeadCheck(
    private val singleHeaders: Collection<String>,
) {
    /** Says why the head of [response] is not that of one answer, or returns null if it is. */
    fun faultOf(response: HttpResponse): String? {
        val version = response.protocolVersion()
        if (version != HttpVersion.HTTP_1_1 && version != HttpVersion.HTTP_1_0) return "version $version"
        val headers = response.headers()
        val status = response.status()
        return HeadCheck.faultOf(status.code(), status.reasonPhrase(), headers.map { (name, value) -> name to value })
            ?: singleHeaders.firstOrNull { headers.getAll(it).size > 1 }?.let { "the header $it more than once" }
    }
}
