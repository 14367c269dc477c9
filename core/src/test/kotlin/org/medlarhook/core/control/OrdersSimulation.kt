package org.medlarhook.core.control

import org.medlarhook.core.lease.LeaseScope
import org.medlarhook.core.lease.LeaseSettings
import org.medlarhook.core.membership.UpstreamRegistration
import org.medlarhook.core.order.ApplierSettings
import org.medlarhook.core.order.EngineControl
import org.medlarhook.core.order.EngineOrder
import org.medlarhook.core.order.EngineOutcome
import org.medlarhook.core.order.OrderAction
import org.medlarhook.core.order.OrderApplier
import org.medlarhook.core.order.OrderIssuer
import org.medlarhook.core.order.OrderKey
import org.medlarhook.core.order.OrderRow
import org.medlarhook.core.order.OrderStatus
import org.medlarhook.core.row.RowJson
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write

/** A simulated engine that logs the orders that it executed. */
internal class SimEngine(
    private val checksFencing: Boolean,
) {
    val log = mutableListOf<Pair<Long, OrderAction>>()
    var checked = 0
    private var highest = 0L

    fun receive(order: EngineOrder): EngineOutcome {
        if (checksFencing && order.fencingNumber.value < highest) return EngineOutcome.Refused("old fencing number")
        highest = maxOf(highest, order.fencingNumber.value)
        log += order.generation to order.action
        return EngineOutcome.Done
    }
}

/**
 * A sidecar with its engine. If the engine does not check fencing numbers, a delayed call arrives within
 * [OrdersSimulation.ENGINE_CALL_LIFETIME_MS] or never.
 */
internal class SimSidecar(
    val process: SimProcess,
    val engine: SimEngine,
    val checksFencing: Boolean,
    key: OrderKey,
    incarnation: Long,
    settings: ApplierSettings,
    private val simulation: OrdersSimulation,
) : EngineControl {
    var engineFault = CallFault.NONE
    val applier = OrderApplier(key, incarnation, settings, process, this, process.time)

    override fun apply(order: EngineOrder): EngineOutcome =
        when (engineFault.also { engineFault = CallFault.NONE }) {
            CallFault.NONE -> engine.receive(order)
            CallFault.REFUSED -> EngineOutcome.Refused("busy")
            CallFault.REQUEST_LOST -> EngineOutcome.Unknown("call lost")
            CallFault.ANSWER_LOST -> engine.receive(order).let { EngineOutcome.Unknown("answer lost") }
            CallFault.LATE -> EngineOutcome.Unknown("call delayed").also { simulation.sendDelayed(this, order) }
            CallFault.PAUSED_BEFORE -> {
                simulation.elapse(process, 25_000)
                if (process.alive) engine.receive(order) else EngineOutcome.Unknown("sidecar killed")
            }
        }
}

internal class OrdersSimulation(
    ignoredConditions: Set<String> = emptySet(),
    private val leaseSettings: (Int) -> LeaseSettings = { LeaseSettings() },
    private val applierSettings: ApplierSettings = ApplierSettings(),
    private val lossyHints: Boolean = true,
    totals: Totals = Totals(),
) : ControlSimulation(ignoredConditions, totals) {
    private val issued = HashMap<String, HashMap<Long, OrderAction>>()
    private var orderCount = 0
    private var faultsEnded = false
    private var lastOrderBy: String? = null
    private var lastOrderMs = 0L
    override val entries = MutableList(3) { newEntry(it) }
    private val sidecars = MutableList(UPSTREAMS) { newSidecar(it, SimEngine(checksFencing = it == 1)) }
    private val replaced = mutableListOf<SimSidecar>()

    override fun otherProcesses(): List<SimProcess> = sidecars.map { it.process } + replaced.map { it.process }

    override fun replaceEntry(index: Int) {
        entries[index].process.alive = false
        entries[index] = newEntry(index)
    }

    override fun background(entry: Int) {
        if (faultsEnded || !entries[entry].mayAct()) return
        val isNewHolder = lastOrderBy != entries[entry].process.name
        if (!isNewHolder && simulationMs % ORDER_INTERVAL_MS != 0L) return
        val turn = (simulationMs / ORDER_INTERVAL_MS).toInt()
        if (issue(entry, turn % 2) != null && (turn % 3 != 0 || !lossyHints)) sidecars[turn % 2].applier.hint()
    }

    override fun backgroundOfOthers() {
        (sidecars + replaced).filter { it.process.isRunning() }.forEach { it.applier.run() }
    }

    override fun performSpecific(step: Step) {
        val sidecar = sidecars[step.target % UPSTREAMS]
        when (step.kind) {
            StepKind.ISSUE -> chooseEntry(step).let {
                inEntry(entries[it], step) { issue(it, minOf(UPSTREAMS - 1, step.arg / 3 % 5)) }
            }
            StepKind.HINT -> {
                sidecar.engineFault = step.fault
                sidecar.applier.hint()
            }
            StepKind.APPLY_STEP -> applyStep(sidecar, step)
            StepKind.KILL_SIDECAR -> restart(step.target % UPSTREAMS, sidecar.engine)
            StepKind.REPLACE_VM -> {
                replaced += sidecar
                sidecars[step.target % UPSTREAMS] =
                    newSidecar(step.target % UPSTREAMS, SimEngine(sidecar.checksFencing))
            }
            else -> error("unexpected $step")
        }
    }

    fun sendDelayed(sidecar: SimSidecar, order: EngineOrder) {
        val sentMs = simulationMs
        delayed += {
            if (sidecar.checksFencing || simulationMs - sentMs <= ENGINE_CALL_LIFETIME_MS) sidecar.engine.receive(order)
        }
    }

    override fun committed(process: String, transaction: Transaction) {
        super.committed(process, transaction)
        transaction.writes.filter { it.key.table == TableNames.ORDER }.forEach { write ->
            val row = RowJson.decode<OrderRow>(checkNotNull(write.value))
            if (row.status != OrderStatus.ISSUED) return@forEach
            lastOrderBy = process
            lastOrderMs = simulationMs
            oracle(process == lastHolder) { "an order of $process took effect, but $lastHolder holds the lease" }
            val previous = issued.getOrPut(write.key.key) { HashMap() }.put(row.generation, row.action)
            oracle(previous == null) { "generation ${row.generation} was written twice" }
        }
    }

    override fun check() {
        (sidecars + replaced).filter { it.engine.checked < it.engine.log.size }.forEach { checkEngine(it) }
    }

    private fun checkEngine(sidecar: SimSidecar) {
        sidecar.engine.checked = sidecar.engine.log.size
        sidecar.engine.log.zipWithNext { earlier, later ->
            oracle(earlier.first <= later.first) {
                "the engine executed generation ${later.first} after ${earlier.first}"
            }
        }
        sidecar.engine.log.groupBy({ it.first }, { it.second }).forEach { (generation, actions) ->
            oracle(actions.distinct().size == 1) { "the engine executed two actions of generation $generation" }
            oracle(issued.values.any { it[generation] == actions[0] }) { "the engine executed an unwritten order" }
        }
    }

    /** Returns the time from a step of [kind] on the holder to its successor's first order, without other faults. */
    fun successionMs(kind: StepKind, afterMs: Long): Long {
        elapse(null, afterMs)
        val startMs = simulationMs
        perform(Step(kind, target = 0, arg = 0, CallFault.NONE))
        while (lastOrderMs <= startMs && simulationMs < startMs + SETTLE_MS) elapse(null, TICK_MS)
        return lastOrderMs - startMs
    }

    override fun endFaults() {
        faultsEnded = true
        (sidecars + replaced).forEach { it.engineFault = CallFault.NONE }
    }

    override fun checkSettled() {
        val holder = entries.indexOfFirst { it.mayAct() }
        sidecars.indices.forEach { index ->
            val row = checkNotNull(issue(holder, index)) { "no order could be issued after all faults have ended" }
            sidecars[index].applier.hint()
            elapse(null, 2_000)
            val last = sidecars[index].engine.log.lastOrNull()
            oracle(last?.first == row.generation) { "order ${row.generation} was not executed, but $last" }
        }
        totals.effects += (sidecars + replaced).sumOf { it.engine.log.size }
    }

    private fun issue(entry: Int, upstream: Int): OrderRow? {
        val authority = entries[entry].authority() ?: return null
        val process = entries[entry].process
        orderCount++
        val action = OrderAction.LoadModel("verdict-lm", "v$orderCount")
        return OrderIssuer(DC, process, process.time).issue(authority, "u$upstream", action, "n$orderCount").getOrNull()
    }

    private fun applyStep(sidecar: SimSidecar, step: Step) {
        if (!sidecar.process.isRunning()) return
        sidecar.engineFault = step.fault
        if (step.arg % 2 == 0) sidecar.process.nextFault = step.fault
        sidecar.applier.step()
        sidecar.process.nextFault = CallFault.NONE
    }

    private fun restart(index: Int, engine: SimEngine) {
        sidecars[index].process.alive = false
        sidecars[index] = newSidecar(index, engine, sidecars[index].checksFencing)
    }

    private fun newEntry(index: Int) = SimEntry(newProcess("entry"), LeaseScope.upstreams(DC), leaseSettings(index))

    private fun newSidecar(index: Int, engine: SimEngine, checksFencing: Boolean = index == 1): SimSidecar {
        val key = OrderKey(DC, "u$index")
        val incarnation = register(key)
        return SimSidecar(newProcess("sidecar"), engine, checksFencing, key, incarnation, applierSettings, this)
    }

    private fun register(key: OrderKey): Long {
        val row = tables.read(key.registrationRow).getOrNull()
        val present = row?.let { RowJson.decode<UpstreamRegistration>(it.value) }
        val next = UpstreamRegistration(key.upstreamId, "vm", DC, "region", (present?.incarnation ?: 0) + 1, "")
        tables.transact(Transaction(emptyList(), listOf(Write(key.registrationRow, RowJson.encode(next)))))
        return next.incarnation
    }

    companion object {
        const val DC = "nord"
        const val UPSTREAMS = 3
        const val ORDER_INTERVAL_MS = 2_500L
        const val ENGINE_CALL_LIFETIME_MS = 9_000L
        val STEP_KINDS =
            COMMON_STEP_KINDS +
                listOf(
                    StepKind.ISSUE,
                    StepKind.ISSUE,
                    StepKind.ISSUE,
                    StepKind.HINT,
                    StepKind.HINT,
                    StepKind.HINT,
                    StepKind.DELIVER_DELAYED,
                    StepKind.DELIVER_DELAYED,
                    StepKind.APPLY_STEP,
                    StepKind.APPLY_STEP,
                    StepKind.APPLY_STEP,
                ) +
                listOf(StepKind.KILL_SIDECAR, StepKind.REPLACE_VM)
    }
}
