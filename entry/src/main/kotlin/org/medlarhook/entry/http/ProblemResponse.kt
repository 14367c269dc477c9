package org.medlarhook.entry.http

import io.javalin.http.Context
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.medlarhook.core.result.Failure

private const val MS_PER_S = 1_000L

/** Answers with `application/problem+json`, the numbered result code, and `Retry-After` in whole seconds. */
internal fun Context.problem(failure: Failure) {
    failure.retryAfterMs?.let { header("Retry-After", ((it + MS_PER_S - 1) / MS_PER_S).toString()) }
    status(failure.code.httpStatus)
    contentType("application/problem+json")
    result(failure.toJson().toString())
}

/** The problem object of [this] failure. */
internal fun Failure.toJson() =
    buildJsonObject {
        put("title", code.title)
        put("status", code.httpStatus)
        put("code", code.number)
        put("run", runState.name.lowercase().replace('_', '-'))
        put("detail", detail)
        retryAfterMs?.let { put("retryAfterMs", JsonPrimitive(it)) }
    }
