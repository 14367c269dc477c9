package org.medlarhook.entry.http

import org.medlarhook.core.call.CallHeader
import java.net.URLDecoder

/**
 * Takes out of a caller's request what must not reach an upstream: connection headers, credentials, cookies, headers
 * of the system's own, and whatever holds the presented key.
 */
internal class InwardFilter(
    private val presentedKey: String?,
) {
    /** The headers that go inward. */
    fun headers(headers: List<CallHeader>): List<CallHeader> {
        val named = headers.filter { it.name.equals("connection", ignoreCase = true) }
        val connectionBound = named.flatMap { it.value.split(',') }.mapTo(HashSet()) { it.trim().lowercase() }
        return headers.filterNot { isDropped(it, connectionBound) }
    }

    /** The query that goes inward, without parameters that carry credentials. */
    fun query(query: String?): String? {
        if (query.isNullOrEmpty()) return null
        return query
            .split('&', ';')
            .filterNot { isCredential(it) }
            .joinToString("&")
            .ifEmpty { null }
    }

    /** True if [text] holds the presented key. */
    fun holdsKey(text: String): Boolean = presentedKey != null && presentedKey in text

    private fun isDropped(header: CallHeader, connectionBound: Set<String>): Boolean {
        val name = header.name.lowercase()
        return name in HeaderNames.HOP_BY_HOP ||
            name in HeaderNames.ENDS_AT_THE_ENTRY ||
            name in connectionBound ||
            name.startsWith(HeaderNames.OWN_PREFIX) ||
            name.startsWith("x-forwarded") ||
            SECRET_WORDS.any { it in name } ||
            holdsKey(header.value)
    }

    private fun isCredential(parameter: String): Boolean {
        val name = decoded(parameter.substringBefore('='))?.lowercase() ?: return true
        val value = decoded(parameter) ?: return true
        return name in SECRET_PARAMETERS || holdsKey(value)
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
