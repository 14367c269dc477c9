package org.medlarhook.core.order

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import org.medlarhook.core.lease.Authority
import org.medlarhook.core.membership.UpstreamRegistration
import org.medlarhook.core.row.RowJson
import org.medlarhook.ports.Condition
import org.medlarhook.ports.Row
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write

/**
 * Writes orders for the upstreams of one data centre.
 *
 * An order is issued by writing its row. The transaction requires that the writer's epoch row, the current order row
 * and the sidecar's registration are unchanged since they were read. However late it arrives, it fails once a successor
 * has acquired the lease, another order was written, or the sidecar was restarted.
 */
public class OrderIssuer(
    private val dataCentre: String,
    private val tables: TableService,
    private val time: TimeSource,
) {
    /** Issues [action] to the current sidecar of the upstream. [nonce] must differ with each call. */
    public fun issue(
        authority: Authority,
        upstreamId: String,
        action: OrderAction,
        nonce: String,
    ): Either<OrderRefusal, OrderRow> =
        either {
            val key = OrderKey(dataCentre, upstreamId)
            val registrationRow = ensureNotNull(read(key.registrationRow).bind()) { OrderRefusal.UnknownUpstream }
            val currentRow = read(key.orderRow).bind()
            val current = currentRow?.let { RowJson.decode<OrderRow>(it.value) }
            ensure(current == null || current.isCompleted) { OrderRefusal.PreviousOpen(checkNotNull(current)) }
            val next =
                OrderRow(
                    generation = (current?.generation ?: 0) + 1,
                    epoch = authority.epoch,
                    incarnation = RowJson.decode<UpstreamRegistration>(registrationRow.value).incarnation,
                    nonce = nonce,
                    action = action,
                )
            val conditions =
                listOf(
                    authority.condition(),
                    Condition(key.registrationRow, registrationRow.version),
                    Condition(key.orderRow, currentRow?.version ?: Condition.ABSENT),
                )
            write(authority, key, next, conditions).bind()
        }

    private fun write(
        authority: Authority,
        key: OrderKey,
        next: OrderRow,
        conditions: List<Condition>,
    ): Either<OrderRefusal, OrderRow> {
        if (!authority.mayAct(time.monotonicMs())) return OrderRefusal.NotInCharge.left()
        val transaction = Transaction(conditions, listOf(Write(key.orderRow, RowJson.encode(next))))
        return tables.transact(transaction).fold(
            { failure ->
                when (failure) {
                    is TableFailure.Conflict -> conflict(authority, failure).left()
                    is TableFailure.Unavailable -> OrderRefusal.TablesUnavailable.left()
                    is TableFailure.OutcomeUnknown -> readBack(key, next)
                }
            },
            { next.right() },
        )
    }

    private fun conflict(authority: Authority, failure: TableFailure.Conflict): OrderRefusal {
        val epochChanged = failure.current.any { it.key == authority.scope.epochKey }
        return if (epochChanged) OrderRefusal.NotInCharge else OrderRefusal.Conflict
    }

    private fun readBack(key: OrderKey, written: OrderRow): Either<OrderRefusal, OrderRow> {
        val unknown = OrderRefusal.OutcomeUnknown(written.nonce)
        return read(key.orderRow)
            .mapLeft { unknown }
            .flatMap { row ->
                val current = row?.let { RowJson.decode<OrderRow>(it.value) }
                if (current?.nonce == written.nonce) current.right() else unknown.left()
            }
    }

    private fun read(key: RowKey): Either<OrderRefusal, Row?> =
        tables.read(key).mapLeft { OrderRefusal.TablesUnavailable }
}
