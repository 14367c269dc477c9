package org.medlarhook.entry.control

import arrow.core.Either
import arrow.core.left
import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.intent.IntentProposal
import org.medlarhook.core.intent.IntentRefusal
import org.medlarhook.core.intent.IntentRow
import org.medlarhook.core.intent.IntentRunner
import org.medlarhook.core.lease.Authority
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import java.util.UUID

/** Starts and stops upstreams of the data centre while this entry holds its lease. */
internal class IntentService(
    private val runner: IntentRunner,
    private val authority: () -> Authority?,
) {
    private val logger = KotlinLogging.logger {}
    private var finishedSequence = 0L

    /** Opens an intent; [run] carries it out. */
    fun propose(proposal: IntentProposal): Either<IntentRefusal, IntentRow> {
        val present = authority() ?: return IntentRefusal.NotInCharge.left()
        return runner.open(present, proposal, UUID.randomUUID().toString())
    }

    /** Finishes the open intent, whoever opened it. */
    fun run() {
        val present = authority() ?: return
        runner.finish(present).onRight { row -> row?.let(::logOnce) }
    }

    private fun logOnce(row: IntentRow) {
        if (row.sequence <= finishedSequence) return
        finishedSequence = row.sequence
        logger.event(LogEvent.INTENT_FINISHED, "sequence" to row.sequence, "targetCount" to row.order.targetCount)
    }
}
