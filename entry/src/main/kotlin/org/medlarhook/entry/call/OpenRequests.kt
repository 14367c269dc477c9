package org.medlarhook.entry.call

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.medlarhook.runtime.operators.StateDump
import java.util.concurrent.ConcurrentHashMap

/** The requests in flight at this entry. */
internal class OpenRequests : StateDump {
    private val requests = ConcurrentHashMap.newKeySet<OpenRequest>()

    /** Number of requests in flight. */
    val count: Int
        get() = requests.size

    /** Adds a request when it starts. */
    fun add(request: OpenRequest) {
        requests.add(request)
    }

    /** Removes a request that was answered or has failed. */
    fun remove(request: OpenRequest) {
        requests.remove(request)
    }

    /** Checks deadlines, timeouts and keys of all requests at [nowMs]. */
    fun tick(nowMs: Long) {
        requests.forEach { it.tick(nowMs) }
    }

    /** Ends all requests with their final answers, because the process ends. */
    fun cutOff() {
        requests.forEach { it.cutOff() }
    }

    override fun dump(nowMs: Long): JsonObject {
        val dumps = requests.asSequence().take(MAX_DUMPED).map { it.dump(nowMs) }
        return JsonObject(mapOf("count" to JsonPrimitive(count), "requests" to JsonArray(dumps.toList())))
    }

    private companion object {
        const val MAX_DUMPED = 200
    }
}
