package org.medlarhook.entry.http

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.medlarhook.core.call.CallHeader
import org.medlarhook.core.result.Failure

private const val MS_PER_S = 1_000L

/** Returns a `Retry-After` header, rounded up to whole seconds, if the failure has a retry delay. */
internal fun Failure.retryAfterHeader(): List<CallHeader> {
    val delayMs = retryAfterMs ?: return emptyList()
    return listOf(CallHeader("Retry-After", ((delayMs + MS_PER_S - 1) / MS_PER_S).toString()))
}

/** Returns the problem details object of this failure. */
internal fun Failure.toJson(): JsonObject =
    buildJsonObject {
        put("title", code.title)
        put("status", code.httpStatus)
        put("code", code.number)
        put("run", runState.name.lowercase().replace('_', '-'))
        put("detail", detail)
        retryAfterMs?.let { put("retryAfterMs", JsonPrimitive(it)) }
    }
