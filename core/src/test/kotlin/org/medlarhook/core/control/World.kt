package org.medlarhook.core.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.medlarhook.core.lease.Authority
import org.medlarhook.core.lease.LeaseManager
import org.medlarhook.core.lease.LeaseScope
import org.medlarhook.core.lease.LeaseSettings
import org.medlarhook.fakes.InMemoryTableService
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.Transaction

/** An entry with its lease. */
internal open class SimEntry(
    val process: SimProcess,
    scope: LeaseScope,
    settings: LeaseSettings,
) {
    val keeper = LeaseManager(scope, process.name, settings, process, process.time)

    fun authority(): Authority? = keeper.authority()

    fun mayAct(): Boolean = process.alive && authority()?.mayAct(process.time.monotonicMs()) ?: false
}

/** Totals over all chains of a run. */
internal class Totals {
    var chains = 0
    var steps = 0
    var takeOvers = 0
    var effects = 0
    var worstTakeOverMs = 0L

    override fun toString(): String =
        "chains=$chains steps=$steps takeOvers=$takeOvers effects=$effects worstVacancyMs=$worstTakeOverMs"
}

/** Three entries that compete for one lease, under faults; each kind of work adds its own part and oracle. */
internal abstract class World(
    val ignoredConditions: Set<String> = emptySet(),
    protected val totals: Totals = Totals(),
) {
    val tables = InMemoryTableService()
    val late = mutableListOf<() -> Unit>()
    protected var trueMs = 0L
    protected var lastTaker: String? = null
    private var lastActiveMs = 0L
    private var started = 0
    private var depth = 0

    protected abstract val entries: MutableList<out SimEntry>

    protected abstract fun others(): List<SimProcess>

    protected abstract fun replaceEntry(index: Int)

    protected abstract fun background(entry: Int)

    protected abstract fun performOwn(step: Step)

    protected abstract fun check()

    protected abstract fun checkSettled()

    protected open fun endFaults() = Unit

    protected open fun backgroundOthers() = Unit

    /** Called for each transaction that took effect. */
    open fun committed(process: String, transaction: Transaction) {
        if (transaction.writes.none { it.key.table == TableNames.EPOCH }) return
        if (lastTaker != null) totals.takeOvers++
        if (lastTaker != null) totals.worstTakeOverMs = maxOf(totals.worstTakeOverMs, trueMs - lastActiveMs)
        lastTaker = process
    }

    /** Says whether conditions that are to be left out are left out of [transaction]. */
    open fun strips(transaction: Transaction): Boolean =
        transaction.writes.none { it.key.table == TableNames.LEASE || it.key.table == TableNames.EPOCH }

    fun perform(step: Step) {
        totals.steps++
        val index = target(step)
        val entry = entries[index]
        when (step.op) {
            Op.ELAPSE -> elapseWithout(null, step.arg * 100L)
            Op.KILL -> replaceEntry(index)
            Op.HAND_BACK -> if (entry.process.isRunning()) handBack(index)
            Op.DELIVER_LATE -> if (late.isNotEmpty()) late.removeAt(step.arg % late.size)()
            Op.LEASE_STEP -> inEntry(entry, step) { entry.keeper.step() }
            else -> if (!performFault(step, entry)) performOwn(step)
        }
        checkAll()
    }

    private fun performFault(step: Step, entry: SimEntry): Boolean {
        val process = if (step.who < 3) entry.process else processes().let { it[step.arg % it.size] }
        when (step.op) {
            Op.PAUSE -> process.paused = true
            Op.RESUME -> processes().forEach { it.paused = false }
            Op.CUT_OFF -> process.cutOff(true)
            Op.OUTAGE -> processes().forEach { it.cutOff(true) }
            Op.HEAL -> processes().forEach { it.cutOff(false) }
            else -> return false
        }
        return true
    }

    /** A call of the platform by [process] whose [effect] may be lost, late, or behind a pause. */
    fun platformCall(process: SimProcess, mishap: Mishap, effect: () -> Unit): Either<TableFailure, Unit> {
        when (mishap) {
            Mishap.NONE -> effect()
            Mishap.REFUSED, Mishap.REQUEST_LOST -> Unit
            Mishap.ANSWER_LOST -> effect()
            Mishap.LATE -> late += effect
            Mishap.PAUSED_BEFORE -> {
                elapseWithout(process, 25_000)
                effect()
            }
        }
        val answered = mishap == Mishap.NONE || mishap == Mishap.PAUSED_BEFORE
        return if (answered) Unit.right() else TableFailure.OutcomeUnknown("lost").left()
    }

    fun elapseWithout(stopped: SimProcess?, durationMs: Long) {
        if (depth > 1) return
        depth++
        stopped?.paused = true
        repeat((durationMs / TICK_MS).toInt()) {
            trueMs += TICK_MS
            processes().forEach { it.advance(TICK_MS) }
            entries.indices.filter { entries[it].process.isRunning() }.forEach {
                entries[it].keeper.run()
                background(it)
                checkAll()
            }
            backgroundOthers()
            checkAll()
        }
        stopped?.paused = false
        depth--
    }

    fun settle() {
        totals.chains++
        while (late.isNotEmpty()) late.removeAt(late.size - 1)()
        processes().forEach {
            it.paused = false
            it.cutOff(false)
            it.nextMishap = Mishap.NONE
        }
        endFaults()
        elapseWithout(null, SETTLE_MS)
        oracle(entries.count { it.mayAct() } == 1) { "nobody is in charge after all faults have ended" }
        checkSettled()
    }

    protected fun newProcess(kind: String): SimProcess {
        started++
        return SimProcess("$kind-$started", this, RATES[started % RATES.size], trueMs)
    }

    protected fun inEntry(entry: SimEntry, step: Step, act: () -> Unit) {
        if (!entry.process.isRunning()) return
        entry.process.nextMishap = step.mishap
        act()
        entry.process.nextMishap = Mishap.NONE
    }

    /** Half of the steps go to the entry that holds the lease or thinks so. */
    protected fun target(step: Step): Int {
        val engaged = entries.indices.filter { entries[it].authority() != null }
        return if (step.who % 2 == 0 &&
            engaged.isNotEmpty()
        ) {
            engaged[step.arg % engaged.size]
        } else {
            step.arg % entries.size
        }
    }

    private fun handBack(index: Int) {
        entries[index].keeper.release()
        replaceEntry(index)
    }

    private fun processes(): List<SimProcess> = entries.map { it.process } + others()

    private fun checkAll() {
        val inCharge = entries.filter { it.mayAct() }
        if (inCharge.isNotEmpty()) lastActiveMs = trueMs
        oracle(inCharge.size <= 1) { "two processes are in charge: ${inCharge.map { it.process.name }}" }
        check()
    }

    protected companion object {
        const val TICK_MS = 500L
        const val SETTLE_MS = 120_000L
        val RATES = listOf(1_000, 970, 1_030, 990, 1_015)
        val COMMON_OPS =
            List(8) { Op.ELAPSE } + listOf(
                Op.PAUSE,
                Op.PAUSE,
                Op.RESUME,
                Op.RESUME,
                Op.KILL,
                Op.HAND_BACK,
                Op.CUT_OFF,
                Op.OUTAGE,
                Op.HEAL,
                Op.HEAL,
                Op.HEAL,
                Op.DELIVER_LATE,
                Op.LEASE_STEP,
            )
    }
}
