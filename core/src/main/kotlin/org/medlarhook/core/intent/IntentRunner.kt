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
 * Starts and stops upstreams of one data centre.
 *
 * Each call of the platform repeats the one intent row, which was written under the writer's epoch, and the next row
 * is written only after the platform has accepted the present one. A call that arrives late therefore repeats an
 * order that the platform has accepted before and knows by its idempotency key.
 */
public class IntentRunner(
    private val dataCentre: String,
    private val tables: TableService,
    private val ordering: UpstreamOrdering,
    private val time: TimeSource,
) {
    private val key = RowKey(TableNames.INTENT, dataCentre)

    /** Opens the next intent. [nonce] must differ with each call. */
    public fun open(authority: Authority, proposal: IntentProposal, nonce: String): Either<IntentRefusal, IntentRow> =
        either {
            val presentRow = read().bind()
            val present = presentRow?.intent()
            ensure(present == null || present.status == IntentStatus.DONE) {
                IntentRefusal.PreviousOpen(checkNotNull(present))
            }
            val sequence = (present?.sequence ?: 0) + 1
            val next = IntentRow(sequence, order(authority, proposal, sequence), nonce)
            write(authority, presentRow, next).bind()
            next
        }

    /** Finishes the open intent, whoever wrote it. Returns the newest intent, or null if there was never one. */
    public fun finish(authority: Authority): Either<IntentRefusal, IntentRow?> =
        either {
            val row = read().bind()
            val present = row?.intent() ?: return@either null
            if (present.status == IntentStatus.DONE) return@either present
            ensure(authority.mayAct(time.monotonicMs())) { IntentRefusal.NotInCharge }
            ordering.order(present.order).mapLeft { IntentRefusal.NotAccepted }.bind()
            val done = present.copy(status = IntentStatus.DONE)
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

    private fun write(authority: Authority, present: Row?, next: IntentRow): Either<IntentRefusal, Unit> {
        if (!authority.mayAct(time.monotonicMs())) return IntentRefusal.NotInCharge.left()
        val conditions = listOf(authority.condition(), Condition(key, present?.version ?: Condition.ABSENT))
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
