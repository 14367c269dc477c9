package org.medlarhook.core.control

import arrow.core.Either
import arrow.core.getOrElse
import org.medlarhook.core.lease.LeaseScope
import org.medlarhook.core.lease.LeaseSettings
import org.medlarhook.core.usage.EntryReceiptBuffer
import org.medlarhook.core.usage.ReceiptLedger
import org.medlarhook.core.usage.ReceiptSource
import org.medlarhook.core.usage.UsageCollector
import org.medlarhook.core.usage.UsageReceipt
import org.medlarhook.core.usage.UsageSettings
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.UsageReport
import org.medlarhook.ports.UsageReporting

/** An entry that collects receipts while it holds the lease, and keeps copies of receipts. */
internal class UsageEntry(
    process: SimProcess,
    settings: UsageSettings,
    private val simulation: UsageSimulation,
) : SimEntry(process, LeaseScope.usage(UsageSimulation.SHARD), LeaseSettings()),
    UsageReporting {
    var callFault = CallFault.NONE
    val buffer = EntryReceiptBuffer(10_000)
    val collector = UsageCollector(UsageSimulation.SHARD, settings, process, this, process.time)

    override fun deliver(report: UsageReport): Either<TableFailure, Unit> =
        simulation.platformCall(process, callFault.also { callFault = CallFault.NONE }) { simulation.receive(report) }
}

internal class UsageSidecar(
    val process: SimProcess,
    val source: ReceiptSource,
) {
    val ledger = ReceiptLedger(source, 10_000)
}

/** The processes that hold the receipt of one attempt. */
private class ReceiptCopies(
    val holders: List<SimProcess>,
)

internal class UsageSimulation(
    ignoredConditions: Set<String> = emptySet(),
    private val copies: Boolean = true,
    totals: Totals = Totals(),
) : ControlSimulation(ignoredConditions, totals) {
    private val settings = UsageSettings(windowMs = 20_000, freezeAfterMs = 5_000, batchesBeforeCompaction = 4)
    private val issuedReceipts = HashMap<String, ReceiptCopies>()
    private val reports = LinkedHashMap<Long, UsageReport>()
    private var checkedReports = 0
    override val entries = MutableList(3) { newEntry() }
    private val sidecars = MutableList(2) { newSidecar(it, 1) }

    override fun otherProcesses(): List<SimProcess> = sidecars.map { it.process }

    override fun replaceEntry(index: Int) {
        entries[index].process.alive = false
        entries[index] = newEntry()
    }

    override fun background(entry: Int) {
        if (simulationMs % 5_000 == 0L) offer(entry)
        if (!entries[entry].mayAct() || simulationMs % 2_500 != 0L) return
        sidecars.indices.forEach { collect(entry, it) }
        freeze(entry)
        send(entry)
    }

    override fun performSpecific(step: Step) {
        val index = chooseEntry(step)
        when (step.kind) {
            StepKind.SERVE -> serve(step)
            StepKind.COLLECT -> inEntry(entries[index], step) { collect(index, step.arg / 3 % 2) }
            StepKind.OFFER -> inEntry(entries[index], step) { offer(index) }
            StepKind.FREEZE -> inEntry(entries[index], step) { freeze(index) }
            StepKind.SEND ->
                inEntry(entries[index], if (step.arg % 3 == 0) step else step.copy(fault = CallFault.NONE)) {
                    entries[index].callFault = step.fault
                    send(index)
                }
            StepKind.KILL_SIDECAR -> {
                val old = sidecars[step.target % 2]
                old.process.alive = false
                sidecars[step.target % 2] = newSidecar(step.target % 2, old.source.incarnation + 1)
            }
            else -> error("unexpected $step")
        }
    }

    /** Checks, as the platform, that a repeated window has the same figures and that new windows arrive in order. */
    fun receive(report: UsageReport) {
        val first = reports.getOrPut(report.windowStartMs) {
            oracle(reports.keys.all { it < report.windowStartMs }) { "a window was reported out of order" }
            report
        }
        oracle(first == report) { "window ${report.windowStartMs} was reported with different figures" }
    }

    override fun check() {
        if (checkedReports == reports.size) return
        checkedReports = reports.size
        reports.values.flatMap { it.lines }.groupBy { it.resource }.forEach { (resource, lines) ->
            oracle(lines.size == 1) { "$resource was billed ${lines.size} times" }
            oracle(lines[0].promptTokens == TOKENS) { "$resource was billed with ${lines[0].promptTokens} tokens" }
        }
    }

    override fun endFaults() = entries.forEach { it.callFault = CallFault.NONE }

    override fun checkSettled() {
        val reported = reports.values.flatMap { report -> report.lines.map { it.resource } }.toSet()
        val expected = issuedReceipts.filterValues { issued -> issued.holders.any { it.alive } }.keys
        oracle(reported.containsAll(expected)) { "receipts were lost: ${expected - reported}" }
        oracle(issuedReceipts.keys.containsAll(reported)) {
            "receipts were reported that no sidecar issued: ${reported - issuedReceipts.keys}"
        }
        totals.effects += reported.size
    }

    private fun serve(step: Step) {
        val sidecar = sidecars[step.arg / 3 % 2]
        if (!sidecar.process.isRunning()) return
        repeat(1 + step.arg % 3) {
            val resource = "r${issuedReceipts.size}"
            val finishedMs = sidecar.process.time.wallMs() - step.arg * 50
            val draft = UsageReceipt(sidecar.source, 0, "w", resource, promptTokens = TOKENS, finishedAtMs = finishedMs)
            val receipt = sidecar.ledger.append(draft)
            val entry =
                entries[step.target % 3].takeIf { it.process.isRunning() && step.fault != CallFault.ANSWER_LOST }
            if (copies) entry?.buffer?.keep(receipt)
            issuedReceipts[resource] = ReceiptCopies(listOfNotNull(sidecar.process, entry?.process))
        }
    }

    private fun collect(index: Int, sidecarIndex: Int) {
        val sidecar = sidecars[sidecarIndex]
        val authority = entries[index].authority() ?: return
        if (!sidecar.process.isRunning()) return
        val committed = entries[index].collector.committed(authority, sidecar.source).getOrElse { return }
        sidecar.ledger.dropUpTo(sidecar.source.incarnation, committed.watermark)
        entries[index].collector.collect(authority, sidecar.ledger.page(committed.watermark, 5))
    }

    private fun offer(index: Int) {
        val holder = entries.firstOrNull { it.process.isRunning() && it.authority() != null } ?: return
        val authority = holder.authority() ?: return
        val buffer = entries[index].buffer
        buffer.sources().forEach { source ->
            val page = buffer.page(source, 3)
            holder.collector.collect(authority, page).onRight { buffer.drop(page) }
            holder.collector.committed(authority, source).onRight { buffer.dropUpTo(source, it.watermark) }
        }
    }

    private fun freeze(index: Int) {
        entries[index].authority()?.let { entries[index].collector.freezeDue(it) }
    }

    private fun send(index: Int) {
        entries[index].authority()?.let { entries[index].collector.sendDue(it) }
    }

    private fun newEntry() = UsageEntry(newProcess("entry"), settings, this)

    private fun newSidecar(index: Int, incarnation: Long) =
        UsageSidecar(newProcess("sidecar"), ReceiptSource("u$index", incarnation))

    companion object {
        const val SHARD = "nord"
        private const val TOKENS = 7L
        val STEP_KINDS =
            COMMON_STEP_KINDS + List(6) { StepKind.SERVE } + List(3) { StepKind.COLLECT } +
                listOf(
                    StepKind.OFFER,
                    StepKind.OFFER,
                    StepKind.FREEZE,
                    StepKind.FREEZE,
                    StepKind.SEND,
                    StepKind.SEND,
                    StepKind.KILL_SIDECAR,
                    StepKind.DELIVER_DELAYED,
                )
    }
}
