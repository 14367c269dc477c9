package org.medlarhook.serving.crash

import com.google.common.hash.Hasher
import com.google.common.hash.Hashing
import org.medlarhook.serving.call.CallerCall

/**
 * Recognises a request that comes again, at any process and under another id: two requests have the same fingerprint if
 * they have the same method, host, path, query and body and come from the same workspace.
 */
internal object RequestFingerprint {
    private const val BYTES = 16

    /** The fingerprint of [call] for [workspace], which is null where no key is needed, as 32 hexadecimal digits. */
    fun of(call: CallerCall, workspace: String?): String {
        val hasher = Hashing.sha256().newHasher()
        listOf(call.method, call.host, call.target, workspace.orEmpty()).forEach { hasher.putText(it) }
        val body = call.body
        body.nioBuffers(body.readerIndex(), body.readableBytes()).forEach { hasher.putBytes(it) }
        return hasher.hash().toString().take(2 * BYTES)
    }

    /** The length keeps apart what would be the same bytes in a row. */
    private fun Hasher.putText(text: String) {
        putInt(text.length)
        putString(text, Charsets.UTF_8)
    }
}
