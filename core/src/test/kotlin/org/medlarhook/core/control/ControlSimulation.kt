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

/** A simulated entry that competes for a lease. */
internal open class SimEntry(
    val process: SimProcess,
    scope: LeaseScope,
    settings: LeaseSettings,
) {
    val leaseManager = LeaseManager(scope, process.name, settings, process, process.time)

    fun authority(): Authority? = leaseManager.authority()

    fun mayAct(): Boolean = process.alive && authority()?.mayAct(process.time.monotonicMs()) ?: false
}

/** Totals over all chains of one test run, printed at its end. */
internal class Totals {
    var chains = 0
    var steps = 0
    var takeOvers = 0
    var effects = 0
    var worstTakeOverMs = 0L

    override fun toString(): String =
        "chains=$chains steps=$steps takeOvers=$takeOvers effects=$effects worstVacancyMs=$worstTakeOverMs"
}

/**
 * Simulates three entries that compete for one lease under faults. Subclasses add the work that the holder does, and
 * checks of its effects.
 */
internal abstract class ControlSimulation(
    val ignoredConditions: Set<String> = emptySet(),
    protected val totals: Totals = Totals(),
) {
    val tables = InMemoryTableService()
    val delayed = mutableListOf<() -> Unit>()
    protected var simulationMs = 0L
    protected var lastHolder: String? = null
    private var lastActiveMs = 0L
    private var started = 0
    private var depth = 0

    protected abstract val entries: MutableList<out SimEntry>

    protected abstract fun otherProcesses(): List<SimProcess>

    protected abstract fun replaceEntry(index: Int)

    protected abstract fun background(entry: Int)

    protected abstract fun performSpecific(step: Step)

    protected abstract fun check()

    protected abstract fun checkSettled()

    protected open fun endFaults() = Unit

    protected open fun backgroundOfOthers() = Unit

    /** Called after each transaction that took effect. */
    open fun committed(process: String, transaction: Transaction) {
        if (transaction.writes.none { it.key.table == TableNames.EPOCH }) return
        if (lastHolder != null) totals.takeOvers++
        if (lastHolder != null) totals.worstTakeOverMs = maxOf(totals.worstTakeOverMs, simulationMs - lastActiveMs)
        lastHolder = process
    }

    /** True if the conditions on the tables in [ignoredConditions] are dropped from [transaction]. */
    open fun ignoresConditions(transaction: Transaction): Boolean =
        transaction.writes.none { it.key.table == TableNames.LEASE || it.key.table == TableNames.EPOCH }

    fun perform(step: Step) {
        totals.steps++
        val index = chooseEntry(step)
        val entry = entries[index]
        when (step.kind) {
            StepKind.ELAPSE -> elapse(null, step.arg * 100L)
            StepKind.KILL -> replaceEntry(index)
            StepKind.RELEASE_LEASE -> if (entry.process.isRunning()) releaseLease(index)
            StepKind.DELIVER_DELAYED -> if (delayed.isNotEmpty()) delayed.removeAt(step.arg % delayed.size)()
            StepKind.LEASE_STEP -> inEntry(entry, step) { entry.leaseManager.step() }
            else -> if (!performFault(step, entry)) performSpecific(step)
        }
        checkAll()
    }

    private fun performFault(step: Step, entry: SimEntry): Boolean {
        val process = if (step.target < 3) entry.process else processes().let { it[step.arg % it.size] }
        when (step.kind) {
            StepKind.PAUSE -> process.paused = true
            StepKind.RESUME -> processes().forEach { it.paused = false }
            StepKind.CUT_OFF -> process.cutOff(true)
            StepKind.OUTAGE -> processes().forEach { it.cutOff(true) }
            StepKind.HEAL -> processes().forEach { it.cutOff(false) }
            else -> return false
        }
        return true
    }

    /** Calls the platform from [process]. By [fault], [effect] may be lost, delayed, or preceded by a pause. */
    fun platformCall(process: SimProcess, fault: CallFault, effect: () -> Unit): Either<TableFailure, Unit> {
        when (fault) {
            CallFault.NONE -> effect()
            CallFault.REFUSED, CallFault.REQUEST_LOST -> Unit
            CallFault.ANSWER_LOST -> effect()
            CallFault.LATE -> delayed += effect
            CallFault.PAUSED_BEFORE -> {
                elapse(process, 25_000)
                effect()
            }
        }
        val answered = fault == CallFault.NONE || fault == CallFault.PAUSED_BEFORE
        return if (answered) Unit.right() else TableFailure.OutcomeUnknown("lost").left()
    }

    fun elapse(pausedProcess: SimProcess?, durationMs: Long) {
        if (depth > 1) return
        depth++
        pausedProcess?.paused = true
        repeat((durationMs / TICK_MS).toInt()) {
            simulationMs += TICK_MS
            processes().forEach { it.advance(TICK_MS) }
            entries.indices.filter { entries[it].process.isRunning() }.forEach {
                entries[it].leaseManager.run()
                background(it)
                checkAll()
            }
            backgroundOfOthers()
            checkAll()
        }
        pausedProcess?.paused = false
        depth--
    }

    fun settle() {
        totals.chains++
        while (delayed.isNotEmpty()) delayed.removeAt(delayed.size - 1)()
        processes().forEach {
            it.paused = false
            it.cutOff(false)
            it.nextFault = CallFault.NONE
        }
        endFaults()
        elapse(null, SETTLE_MS)
        oracle(entries.count { it.mayAct() } == 1) { "not exactly one process holds the lease after the faults ended" }
        checkSettled()
    }

    protected fun newProcess(role: String): SimProcess {
        started++
        return SimProcess("$role-$started", this, RATES_PER_MILLE[started % RATES_PER_MILLE.size], simulationMs)
    }

    protected fun inEntry(entry: SimEntry, step: Step, act: () -> Unit) {
        if (!entry.process.isRunning()) return
        entry.process.nextFault = step.fault
        act()
        entry.process.nextFault = CallFault.NONE
    }

    /** Chooses the entry for [step]: for half of the steps one that holds the lease, or did before it expired. */
    protected fun chooseEntry(step: Step): Int {
        val holding = entries.indices.filter { entries[it].authority() != null }
        return if (step.target % 2 == 0 && holding.isNotEmpty()) {
            holding[step.arg % holding.size]
        } else {
            step.arg % entries.size
        }
    }

    private fun releaseLease(index: Int) {
        entries[index].leaseManager.release()
        replaceEntry(index)
    }

    private fun processes(): List<SimProcess> = entries.map { it.process } + otherProcesses()

    private fun checkAll() {
        val holders = entries.filter { it.mayAct() }
        if (holders.isNotEmpty()) lastActiveMs = simulationMs
        oracle(holders.size <= 1) { "two processes hold the lease: ${holders.map { it.process.name }}" }
        check()
    }

    protected companion object {
        const val TICK_MS = 500L
        const val SETTLE_MS = 120_000L
        val RATES_PER_MILLE = listOf(1_000, 970, 1_030, 990, 1_015)
        val COMMON_STEP_KINDS =
            List(8) { StepKind.ELAPSE } + listOf(
                StepKind.PAUSE,
                StepKind.PAUSE,
                StepKind.RESUME,
                StepKind.RESUME,
                StepKind.KILL,
                StepKind.RELEASE_LEASE,
                StepKind.CUT_OFF,
                StepKind.OUTAGE,
                StepKind.HEAL,
                StepKind.HEAL,
                StepKind.HEAL,
                StepKind.DELIVER_DELAYED,
                StepKind.LEASE_STEP,
            )
    }
}
