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

/** Starts and stops upstreams of one data centre while this entry holds the lease on them. */
internal class IntentService(
    private val runner: IntentRunner,
    private val authority: () -> Authority?,
) {
    private val logger = KotlinLogging.logger {}
    private var loggedSequence = 0L

    /** Opens an intent for [proposal]; [run] executes it. */
    fun propose(proposal: IntentProposal): Either<IntentRefusal, IntentRow> {
        val currentAuthority = authority() ?: return IntentRefusal.NotInCharge.left()
        return runner.open(currentAuthority, proposal, UUID.randomUUID().toString())
    }

    /** Executes and closes the open intent, which may be of an earlier lease holder. */
    fun run() {
        val currentAuthority = authority() ?: return
        runner.finish(currentAuthority).onRight { row -> row?.let(::logOnce) }
    }

    private fun logOnce(row: IntentRow) {
        if (row.sequence <= loggedSequence) return
        loggedSequence = row.sequence
        logger.event(LogEvent.INTENT_FINISHED, "sequence" to row.sequence, "targetCount" to row.order.targetCount)
    }
}
