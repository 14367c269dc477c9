package org.medlarhook.entry.http

import org.medlarhook.core.call.CallHeader
import java.net.URLDecoder

/**
 * Removes headers and query parameters that must not reach an upstream: hop-by-hop headers, credentials, cookies,
 * headers that are internal to this system, and everything that contains the presented key.
 */
internal class RequestFilter(
    private val presentedKey: String?,
) {
    /** Returns the headers to forward to the upstream. */
    fun headers(headers: List<CallHeader>): List<CallHeader> {
        val connectionHeaders = headers.filter { it.name.equals("connection", ignoreCase = true) }
        val connectionOptions =
            connectionHeaders.flatMap { it.value.split(',') }.mapTo(HashSet()) { it.trim().lowercase() }
        return headers.filterNot { isDropped(it, connectionOptions) }
    }

    /** Returns the query to forward to the upstream, without credentials, or null if nothing is left of it. */
    fun query(query: String?): String? {
        if (query.isNullOrEmpty()) return null
        return query
            .split('&', ';')
            .filterNot { isCredential(it) }
            .joinToString("&")
            .ifEmpty { null }
    }

    /** True if [text] contains the presented key. */
    fun hasKey(text: String): Boolean = presentedKey != null && presentedKey in text

    private fun isDropped(header: CallHeader, connectionOptions: Set<String>): Boolean {
        val name = header.name.lowercase()
        return name in HeaderNames.HOP_BY_HOP ||
            name in HeaderNames.NOT_SENT_UPSTREAM ||
            name in connectionOptions ||
            name.startsWith(HeaderNames.INTERNAL_PREFIX) ||
            name.startsWith("x-forwarded") ||
            SECRET_WORDS.any { it in name } ||
            hasKey(header.value)
    }

    private fun isCredential(parameter: String): Boolean {
        val name = decoded(parameter.substringBefore('='))?.lowercase() ?: return true
        val value = decoded(parameter) ?: return true
        return name in SECRET_PARAMETERS || hasKey(value)
    }

    private fun decoded(text: String): String? =
        try {
            URLDecoder.decode(text, Charsets.UTF_8)
        } catch (_: IllegalArgumentException) {
            null
        }

    private companion object {
        val SECRET_WORDS = listOf("key", "token", "secret", "auth", "cookie", "password", "credential", "session")
        val SECRET_PARAMETERS =
            setOf(
                "key",
                "api_key",
                "apikey",
                "api-key",
                "token",
                "access_token",
                "id_token",
                "auth",
                "authorization",
                "secret",
                "client_secret",
                "password",
            )
    }
}
