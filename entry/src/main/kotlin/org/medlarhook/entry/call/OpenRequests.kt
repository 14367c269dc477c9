package org.medlarhook.entry.call

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.medlarhook.runtime.operators.StateDump
import java.util.concurrent.ConcurrentHashMap

/** The requests in flight at this entry. */
internal class OpenRequests : StateDump {
    private val requests = ConcurrentHashMap.newKeySet<OpenRequest>()

    /** How many requests are in flight. */
    val count: Int
        get() = requests.size

    /** Adds a request. */
    fun add(request: OpenRequest) {
        requests.add(request)
    }

    /** Removes a request that has its last word. */
    fun remove(request: OpenRequest) {
        requests.remove(request)
    }

    /** Lets each request check its time. */
    fun tick(nowMs: Long) {
        requests.forEach { it.tick(nowMs) }
    }

    override fun dump(nowMs: Long): JsonObject {
        val shown = requests.asSequence().take(MAX_SHOWN).map { it.dump(nowMs) }
        return JsonObject(mapOf("count" to JsonPrimitive(count), "requests" to JsonArray(shown.toList())))
    }

    private companion object {
        const val MAX_SHOWN = 200
    }
}
