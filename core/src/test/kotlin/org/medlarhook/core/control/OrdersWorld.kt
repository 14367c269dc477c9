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

/** An engine that logs what it carried out. */
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

/** A sidecar with its engine. Calls of an engine without fencing arrive within the stated time or never. */
internal class SimSidecar(
    val process: SimProcess,
    val engine: SimEngine,
    val checksFencing: Boolean,
    key: OrderKey,
    incarnation: Long,
    settings: ApplierSettings,
    private val world: OrdersWorld,
) : EngineControl {
    var engineMishap = Mishap.NONE
    val applier = OrderApplier(key, incarnation, settings, process, this, process.time)

    override fun apply(order: EngineOrder): EngineOutcome =
        when (engineMishap.also { engineMishap = Mishap.NONE }) {
            Mishap.NONE -> engine.receive(order)
            Mishap.REFUSED -> EngineOutcome.Refused("busy")
            Mishap.REQUEST_LOST -> EngineOutcome.Unknown("lost")
            Mishap.ANSWER_LOST -> engine.receive(order).let { EngineOutcome.Unknown("answer lost") }
            Mishap.LATE -> EngineOutcome.Unknown("late").also { world.sendLate(this, order) }
            Mishap.PAUSED_BEFORE -> {
                world.elapseWithout(process, 25_000)
                if (process.alive) engine.receive(order) else EngineOutcome.Unknown("killed")
            }
        }
}

internal class OrdersWorld(
    ignoredConditions: Set<String> = emptySet(),
    private val leaseSettings: (Int) -> LeaseSettings = { LeaseSettings() },
    private val applierSettings: ApplierSettings = ApplierSettings(),
    private val lossyHints: Boolean = true,
    totals: Totals = Totals(),
) : World(ignoredConditions, totals) {
    private val issued = HashMap<String, HashMap<Long, OrderAction>>()
    private var count = 0
    private var faultsEnded = false
    private var lastOrderBy: String? = null
    private var lastOrderMs = 0L
    override val entries = MutableList(3) { newEntry(it) }
    private val sidecars = MutableList(UPSTREAMS) { newSidecar(it, SimEngine(checksFencing = it == 1)) }
    private val replaced = mutableListOf<SimSidecar>()

    override fun others(): List<SimProcess> = sidecars.map { it.process } + replaced.map { it.process }

    override fun replaceEntry(index: Int) {
        entries[index].process.alive = false
        entries[index] = newEntry(index)
    }

    override fun background(entry: Int) {
        if (faultsEnded || !entries[entry].mayAct()) return
        val isNewHolder = lastOrderBy != entries[entry].process.name
        if (!isNewHolder && trueMs % ORDER_EVERY_MS != 0L) return
        val turn = (trueMs / ORDER_EVERY_MS).toInt()
        if (issue(entry, turn % 2) != null && (turn % 3 != 0 || !lossyHints)) sidecars[turn % 2].applier.hint()
    }

    override fun backgroundOthers() {
        (sidecars + replaced).filter { it.process.isRunning() }.forEach { it.applier.run() }
    }

    override fun performOwn(step: Step) {
        val sidecar = sidecars[step.who % UPSTREAMS]
        when (step.op) {
            Op.ISSUE -> target(step).let {
                inEntry(entries[it], step) { issue(it, minOf(UPSTREAMS - 1, step.arg / 3 % 5)) }
            }
            Op.HINT -> {
                sidecar.engineMishap = step.mishap
                sidecar.applier.hint()
            }
            Op.APPLY_STEP -> applyStep(sidecar, step)
            Op.KILL_SIDECAR -> restart(step.who % UPSTREAMS, sidecar.engine)
            Op.REPLACE_VM -> {
                replaced += sidecar
                sidecars[step.who % UPSTREAMS] = newSidecar(step.who % UPSTREAMS, SimEngine(sidecar.checksFencing))
            }
            else -> error("unexpected $step")
        }
    }

    fun sendLate(sidecar: SimSidecar, order: EngineOrder) {
        val sentMs = trueMs
        late += { if (sidecar.checksFencing || trueMs - sentMs <= ENGINE_CALL_LIFE_MS) sidecar.engine.receive(order) }
    }

    override fun committed(process: String, transaction: Transaction) {
        super.committed(process, transaction)
        transaction.writes.filter { it.key.table == TableNames.ORDER }.forEach { write ->
            val row = RowJson.decode<OrderRow>(checkNotNull(write.value))
            if (row.status != OrderStatus.ISSUED) return@forEach
            lastOrderBy = process
            lastOrderMs = trueMs
            oracle(process == lastTaker) { "an order of $process took effect, but $lastTaker is in charge" }
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
            oracle(earlier.first <= later.first) { "the engine saw generation ${later.first} after ${earlier.first}" }
        }
        sidecar.engine.log.groupBy({ it.first }, { it.second }).forEach { (generation, actions) ->
            oracle(actions.distinct().size == 1) { "the engine saw two actions of generation $generation" }
            oracle(issued.values.any { it[generation] == actions[0] }) { "the engine saw an order that nobody wrote" }
        }
    }

    /** How long after [op] on the holder its successor writes an order, with no other fault. */
    fun successionMs(op: Op, afterMs: Long): Long {
        elapseWithout(null, afterMs)
        val startMs = trueMs
        perform(Step(op, who = 0, arg = 0, Mishap.NONE))
        while (lastOrderMs <= startMs && trueMs < startMs + SETTLE_MS) elapseWithout(null, TICK_MS)
        return lastOrderMs - startMs
    }

    override fun endFaults() {
        faultsEnded = true
        (sidecars + replaced).forEach { it.engineMishap = Mishap.NONE }
    }

    override fun checkSettled() {
        val holder = entries.indexOfFirst { it.mayAct() }
        sidecars.indices.forEach { index ->
            val row = checkNotNull(issue(holder, index)) { "no order can be issued after all faults have ended" }
            sidecars[index].applier.hint()
            elapseWithout(null, 2_000)
            val last = sidecars[index].engine.log.lastOrNull()
            oracle(last?.first == row.generation) { "order ${row.generation} was not carried out, but $last" }
        }
        totals.effects += (sidecars + replaced).sumOf { it.engine.log.size }
    }

    private fun issue(entry: Int, upstream: Int): OrderRow? {
        val authority = entries[entry].authority() ?: return null
        val process = entries[entry].process
        count++
        val action = OrderAction.LoadModel("verdict-lm", "v$count")
        return OrderIssuer(DC, process, process.time).issue(authority, "u$upstream", action, "n$count").getOrNull()
    }

    private fun applyStep(sidecar: SimSidecar, step: Step) {
        if (!sidecar.process.isRunning()) return
        sidecar.engineMishap = step.mishap
        if (step.arg % 2 == 0) sidecar.process.nextMishap = step.mishap
        sidecar.applier.step()
        sidecar.process.nextMishap = Mishap.NONE
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
        const val ORDER_EVERY_MS = 2_500L
        const val ENGINE_CALL_LIFE_MS = 9_000L
        val OPS =
            COMMON_OPS +
                listOf(
                    Op.ISSUE,
                    Op.ISSUE,
                    Op.ISSUE,
                    Op.HINT,
                    Op.HINT,
                    Op.HINT,
                    Op.DELIVER_LATE,
                    Op.DELIVER_LATE,
                    Op.APPLY_STEP,
                    Op.APPLY_STEP,
                    Op.APPLY_STEP,
                ) +
                listOf(Op.KILL_SIDECAR, Op.REPLACE_VM)
    }
}
