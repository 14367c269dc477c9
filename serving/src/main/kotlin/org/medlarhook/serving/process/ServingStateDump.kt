package org.medlarhook.serving.process

import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.medlarhook.core.serving.crash.Suspect
import org.medlarhook.serving.call.ServingLoop
import org.medlarhook.serving.http.CallerConnections

/** Writes the state dump of a serving process as JSON. The dump contains no keys. */
internal object ServingStateDump {
    fun of(serving: ServingLoop, callerConnections: CallerConnections): String {
        val nowMs = serving.nowMs()
        return buildJsonObject {
            put("configVersion", serving.config?.version)
            put("configAgeMs", serving.configFreshness.confirmedAtMs?.let { nowMs - it })
            put("requestsInFlight", serving.requestsInFlight)
            put("callerConnections", callerConnections.openConnections)
            put("isStopping", callerConnections.isStopping)
            putJsonArray("upstreams") {
                serving.registry.all().forEach { upstream ->
                    val load = serving.loadView[upstream.incarnation]
                    addJsonObject {
                        put("id", upstream.id)
                        put("address", upstream.address.toString())
                        put("service", upstream.service)
                        put("isDraining", upstream.isDraining)
                        put("stage", upstream.stage?.name)
                        put("ownAttempts", load?.ownAttempts?.size ?: 0)
                        put("othersRequests", load?.otherRequestsAt(nowMs) ?: 0.0)
                        put("speedRatio", load?.speed?.ratio ?: 1.0)
                        put("limitPerS", serving.availability.limitPerS(upstream.incarnation))
                        put("isAvoided", load?.failures?.isAvoided(nowMs) ?: false)
                    }
                }
            }
            val quarantined = serving.crashes.quarantined
            putJsonArray("quarantinedPromptParts") {
                quarantined.filterIsInstance<Suspect.Part>().forEach { add(it.id) }
            }
            putJsonArray("quarantinedRequests") {
                quarantined.filterIsInstance<Suspect.Request>().forEach { add(it.id) }
            }
            putJsonArray("usageWindows") { serving.usage.counts.keys.sorted().forEach { add(it) } }
        }.toString()
    }
}
