package org.medlarhook.core.fuzz

import org.medlarhook.core.directory.AuthorityDecision
import org.medlarhook.core.directory.DirectoryReader
import org.medlarhook.core.directory.DirectoryReplica
import org.medlarhook.core.directory.ReplicaAction
import org.medlarhook.core.directory.ReplicaEvent
import org.medlarhook.core.directory.ReplicaState
import org.medlarhook.core.membership.EntryRegistration
import org.medlarhook.fakes.FaultyTableService
import org.medlarhook.fakes.TableFault
import org.medlarhook.ports.ObjectStore
import org.medlarhook.ports.TableService

/** One simulated entry process, with its own clock, a faulty connection to the tables, and the real replica. */
class FuzzEntry(
    val number: Int,
    val rules: FuzzRules,
    tables: TableService,
    objects: ObjectStore,
    val startedAtMs: Long,
) {
    val id = "e$number"
    val vmId = "vm$number"
    val tables = FaultyTableService(tables)
    val lossyTables = LossyTables(this.tables)
    val reader = DirectoryReader(this.tables, objects)
    val registration = EntryRegistration(id, vmId, "dc", "r", id, id)
    var alive = true
    var paused = false
    var unhealthyAtMs = startedAtMs
    var cutAtMs = startedAtMs
    var joined = false
    var highestVersion = 0L
    val deferred = ArrayDeque<(Long) -> Unit>()

    private val replica = DirectoryReplica(rules.settings)
    private val clockOffsetMs = 7_919L * number
    var state = ReplicaState.initial(registration, clockMs(startedAtMs), seed = number.toLong())

    val running get() = alive && !paused
    val reachesTables get() = running && tables.fault == TableFault.NONE

    fun clockMs(simulationMs: Long) = simulationMs + clockOffsetMs

    fun on(event: ReplicaEvent, simulationMs: Long): List<ReplicaAction> {
        val step = replica.on(state, event, clockMs(simulationMs))
        state = step.state
        return step.actions
    }

    fun decide(simulationMs: Long): AuthorityDecision = rules.policy.decide(state, clockMs(simulationMs))
}
