package org.medlarhook.core.intent

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import org.medlarhook.core.lease.Authority
import org.medlarhook.core.row.RowJson
import org.medlarhook.ports.Condition
import org.medlarhook.ports.Row
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.UpstreamOrder
import org.medlarhook.ports.UpstreamOrdering
import org.medlarhook.ports.Write

/**
 * Starts and stops upstreams of one data centre through the platform.
 *
 * Each call of the platform sends the order of the intent row, which was written under the writer's epoch, and the next
 * row is written only after the platform has accepted the current order. A call that arrives late therefore sends an
 * order that the platform has accepted already and recognises by its idempotency key.
 */
public class IntentRunner(
    private val dataCentre: String,
    private val tables: TableService,
    private val ordering: UpstreamOrdering,
    private val time: TimeSource,
) {
    private val key = RowKey(TableNames.INTENT, dataCentre)

    /** Writes the next intent, if the previous one is finished. [nonce] must differ with each call. */
    public fun open(authority: Authority, proposal: IntentProposal, nonce: String): Either<IntentRefusal, IntentRow> =
        either {
            val currentRow = read().bind()
            val current = currentRow?.intent()
            ensure(current == null || current.status == IntentStatus.DONE) {
                IntentRefusal.PreviousOpen(checkNotNull(current))
            }
            val sequence = (current?.sequence ?: 0) + 1
            val next = IntentRow(sequence, order(authority, proposal, sequence), nonce)
            write(authority, currentRow, next).bind()
            next
        }

    /**
     * Sends the order of the open intent, whichever process wrote it, and marks the intent as done. Returns the newest
     * intent, or null if there was never one.
     */
    public fun finish(authority: Authority): Either<IntentRefusal, IntentRow?> =
        either {
            val row = read().bind()
            val current = row?.intent() ?: return@either null
            if (current.status == IntentStatus.DONE) return@either current
            ensure(authority.mayAct(time.monotonicMs())) { IntentRefusal.NotInCharge }
            ordering.order(current.order).mapLeft { IntentRefusal.NotAccepted }.bind()
            val done = current.copy(status = IntentStatus.DONE)
            write(authority, row, done).bind()
            done
        }

    private fun order(authority: Authority, proposal: IntentProposal, sequence: Long): UpstreamOrder =
        UpstreamOrder(
            idempotencyKey = "$dataCentre/$sequence",
            dataCentre = dataCentre,
            kind = proposal.kind,
            targetCount = proposal.targetCount,
            stopIds = proposal.stopIds,
            epoch = authority.epoch,
        )

    private fun write(authority: Authority, current: Row?, next: IntentRow): Either<IntentRefusal, Unit> {
        if (!authority.mayAct(time.monotonicMs())) return IntentRefusal.NotInCharge.left()
        val conditions = listOf(authority.condition(), Condition(key, current?.version ?: Condition.ABSENT))
        return tables
            .transact(Transaction(conditions, listOf(Write(key, RowJson.encode(next)))))
            .map { }
            .mapLeft { failure ->
                when (failure) {
                    is TableFailure.Conflict -> IntentRefusal.Conflict
                    is TableFailure.Unavailable -> IntentRefusal.TablesUnavailable
                    is TableFailure.OutcomeUnknown -> IntentRefusal.OutcomeUnknown
                }
            }
    }

    private fun read(): Either<IntentRefusal, Row?> = tables.read(key).mapLeft { IntentRefusal.TablesUnavailable }

    private fun Row.intent(): IntentRow = RowJson.decode(value)
}
