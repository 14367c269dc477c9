package org.medlarhook.entry.directory

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.medlarhook.core.directory.AuthorityDecision
import org.medlarhook.core.directory.AuthorityPolicy
import org.medlarhook.core.directory.ReplicaState
import org.medlarhook.runtime.operators.StateDump

/** Dumps the replica's version, its staleness, whether this entry serves keyed routes, and the other entries. */
internal class ReplicaDump(
    private val policy: AuthorityPolicy,
    private val state: () -> ReplicaState,
) : StateDump {
    override fun dump(nowMs: Long): JsonObject {
        val current = state()
        val decision = policy.decide(current, nowMs)
        return buildJsonObject {
            put("entryId", current.selfId)
            put("version", current.directory.version)
            put("newsAgeMs", current.freshness?.stalenessMs(nowMs))
            put("reachesTables", current.reachability.reportsReachable)
            put("openWrites", current.reachability.openWrites)
            put("servesKeyedRoutes", decision is AuthorityDecision.Serve)
            put("basis", (decision as? AuthorityDecision.Serve)?.basis?.name)
            putJsonArray("waitingFor") { (decision as? AuthorityDecision.Refuse)?.waitingFor?.forEach { add(it) } }
            putJsonArray("peers") { current.entries.members.keys.sorted().forEach { add(it) } }
        }
    }
}
