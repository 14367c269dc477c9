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

/** An entry that orders upstreams. Its calls of the platform may be lost, late, or behind a pause. */
internal class IntentEntry(
    process: SimProcess,
    private val world: IntentsWorld,
) : SimEntry(process, LeaseScope.upstreams(IntentsWorld.DC), LeaseSettings()),
    UpstreamOrdering {
    var callMishap = Mishap.NONE
    val runner = IntentRunner(IntentsWorld.DC, process, this, process.time)

    override fun order(order: UpstreamOrder): Either<TableFailure, Unit> =
        world.platformCall(process, callMishap.also { callMishap = Mishap.NONE }) { world.receive(order) }
}

internal class IntentsWorld(
    ignoredConditions: Set<String> = emptySet(),
    private val rememberedKeys: Int = Int.MAX_VALUE,
    totals: Totals = Totals(),
) : World(ignoredConditions, totals) {
    private val written = mutableListOf<UpstreamOrder>()
    private val effective = mutableListOf<UpstreamOrder>()
    private val knownKeys = mutableListOf<String>()
    private var count = 0
    private var faultsEnded = false
    override val entries = MutableList(3) { IntentEntry(newProcess("entry"), this) }

    override fun others(): List<SimProcess> = emptyList()

    override fun replaceEntry(index: Int) {
        entries[index].process.alive = false
        entries[index] = IntentEntry(newProcess("entry"), this)
    }

    override fun background(entry: Int) {
        if (!entries[entry].mayAct() || trueMs % 1_500 != 0L) return
        entries[entry].authority()?.let { entries[entry].runner.finish(it) }
        if (trueMs % 6_000 == 0L && !faultsEnded) open(entry)
    }

    override fun performOwn(step: Step) {
        val index = target(step)
        val entry = entries[index]
        when (step.op) {
            Op.OPEN_INTENT -> inEntry(entry, step) { open(index) }
            Op.FINISH_INTENT ->
                inEntry(entry, if (step.arg % 3 == 0) step else step.copy(mishap = Mishap.NONE)) {
                    entry.callMishap = step.mishap
                    entry.authority()?.let { entry.runner.finish(it) }
                }
            Op.HINT -> entry.callMishap = step.mishap
            else -> error("unexpected $step")
        }
    }

    /** The platform: the first call with a key has an effect. */
    fun receive(order: UpstreamOrder) {
        if (order.idempotencyKey in knownKeys.takeLast(rememberedKeys)) return
        knownKeys += order.idempotencyKey
        effective += order
        oracle(order == written.lastOrNull()) {
            "the platform took $order, but the open intent is ${written.lastOrNull()}"
        }
    }

    override fun committed(process: String, transaction: Transaction) {
        super.committed(process, transaction)
        transaction.writes.filter { it.key.table == TableNames.INTENT }.forEach { write ->
            val row = RowJson.decode<IntentRow>(checkNotNull(write.value))
            oracle(process == lastTaker) { "an intent of $process took effect, but $lastTaker is in charge" }
            if (row.status == IntentStatus.OPEN) {
                oracle(written.size == effective.size) { "an intent was written before the last one had an effect" }
                written += row.order
            }
        }
    }

    override fun check() {
        oracle(written.take(effective.size) == effective) { "the platform took other orders than were written" }
    }

    override fun endFaults() {
        faultsEnded = true
        entries.forEach { it.callMishap = Mishap.NONE }
    }

    override fun checkSettled() {
        oracle(written == effective) { "an intent was never carried out" }
        totals.effects += effective.size
    }

    private fun open(index: Int) {
        count++
        val proposal = IntentProposal("verdict-lm", count, listOf("u$count"))
        entries[index].authority()?.let { entries[index].runner.open(it, proposal, "n$count") }
    }

    companion object {
        const val DC = "nord"
        val OPS =
            COMMON_OPS + List(4) { Op.OPEN_INTENT } + List(4) { Op.FINISH_INTENT } + List(2) { Op.HINT } +
                Op.DELIVER_LATE
    }
}
