package org.medlarhook.core.control

import arrow.core.Either
import org.medlarhook.core.intent.IntentProposal
import org.medlarhook.core.intent.IntentRow
import org.medlarhook.core.intent.IntentRunner
import org.medlarhook.core.intent.IntentStatus
import org.medlarhook.core.lease.LeaseScope
import org.medlarhook.core.lease.LeaseSettings
import org.medlarhook.core.row.RowJson
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.UpstreamOrder
import org.medlarhook.ports.UpstreamOrdering

/** An entry that orders upstreams from the platform. Its calls may be lost, delayed, or preceded by a pause. */
internal class IntentEntry(
    process: SimProcess,
    private val simulation: IntentsSimulation,
) : SimEntry(process, LeaseScope.upstreams(IntentsSimulation.DC), LeaseSettings()),
    UpstreamOrdering {
    var callFault = CallFault.NONE
    val runner = IntentRunner(IntentsSimulation.DC, process, this, process.time)

    override fun order(order: UpstreamOrder): Either<TableFailure, Unit> =
        simulation.platformCall(process, callFault.also { callFault = CallFault.NONE }) { simulation.receive(order) }
}

internal class IntentsSimulation(
    ignoredConditions: Set<String> = emptySet(),
    private val rememberedKeys: Int = Int.MAX_VALUE,
    totals: Totals = Totals(),
) : ControlSimulation(ignoredConditions, totals) {
    private val written = mutableListOf<UpstreamOrder>()
    private val executed = mutableListOf<UpstreamOrder>()
    private val knownKeys = mutableListOf<String>()
    private var intentCount = 0
    private var faultsEnded = false
    override val entries = MutableList(3) { IntentEntry(newProcess("entry"), this) }

    override fun otherProcesses(): List<SimProcess> = emptyList()

    override fun replaceEntry(index: Int) {
        entries[index].process.alive = false
        entries[index] = IntentEntry(newProcess("entry"), this)
    }

    override fun background(entry: Int) {
        if (!entries[entry].mayAct() || simulationMs % 1_500 != 0L) return
        entries[entry].authority()?.let { entries[entry].runner.finish(it) }
        if (simulationMs % 6_000 == 0L && !faultsEnded) open(entry)
    }

    override fun performSpecific(step: Step) {
        val index = chooseEntry(step)
        val entry = entries[index]
        when (step.kind) {
            StepKind.OPEN_INTENT -> inEntry(entry, step) { open(index) }
            StepKind.FINISH_INTENT ->
                inEntry(entry, if (step.arg % 3 == 0) step else step.copy(fault = CallFault.NONE)) {
                    entry.callFault = step.fault
                    entry.authority()?.let { entry.runner.finish(it) }
                }
            StepKind.HINT -> entry.callFault = step.fault
            else -> error("unexpected $step")
        }
    }

    /** Receives an order as the platform does: only the first call with an idempotency key has an effect. */
    fun receive(order: UpstreamOrder) {
        if (order.idempotencyKey in knownKeys.takeLast(rememberedKeys)) return
        knownKeys += order.idempotencyKey
        executed += order
        oracle(order == written.lastOrNull()) {
            "the platform executed $order, but the open intent is ${written.lastOrNull()}"
        }
    }

    override fun committed(process: String, transaction: Transaction) {
        super.committed(process, transaction)
        transaction.writes.filter { it.key.table == TableNames.INTENT }.forEach { write ->
            val row = RowJson.decode<IntentRow>(checkNotNull(write.value))
            oracle(process == lastHolder) { "an intent of $process took effect, but $lastHolder holds the lease" }
            if (row.status == IntentStatus.OPEN) {
                oracle(written.size == executed.size) { "an intent was written before the last one was executed" }
                written += row.order
            }
        }
    }

    override fun check() {
        oracle(written.take(executed.size) == executed) { "the platform executed other orders than were written" }
    }

    override fun endFaults() {
        faultsEnded = true
        entries.forEach { it.callFault = CallFault.NONE }
    }

    override fun checkSettled() {
        oracle(written == executed) { "a written intent was not executed after all faults have ended" }
        totals.effects += executed.size
    }

    private fun open(index: Int) {
        intentCount++
        val proposal = IntentProposal("verdict-lm", intentCount, listOf("u$intentCount"))
        entries[index].authority()?.let { entries[index].runner.open(it, proposal, "n$intentCount") }
    }

    companion object {
        const val DC = "nord"
        val STEP_KINDS =
            COMMON_STEP_KINDS + List(4) { StepKind.OPEN_INTENT } + List(4) { StepKind.FINISH_INTENT } +
                List(2) { StepKind.HINT } + StepKind.DELIVER_DELAYED
    }
}
