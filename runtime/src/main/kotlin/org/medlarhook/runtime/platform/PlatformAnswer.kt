package org.medlarhook.runtime.platform

/** Status and body of an answer of the platform. */
internal class PlatformAnswer(
    val status: Int,
    val body: ByteArray,
) {
    /** The body as text. */
    fun text(): String = body.decodeToString()
}
