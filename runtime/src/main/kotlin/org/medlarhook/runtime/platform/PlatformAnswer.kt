package org.medlarhook.runtime.platform

/** Status and body of an HTTP response of the platform. */
internal class PlatformAnswer(
    val status: Int,
    val body: ByteArray,
) {
    /** Returns the body decoded as UTF-8. */
    fun text(): String = body.decodeToString()
}
