package org.medlarhook.core.usage

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import org.medlarhook.core.lease.Authority
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import org.medlarhook.ports.UsageReport
import org.medlarhook.ports.UsageReporting

/**
 * Collects the receipts of one shard, freezes its windows, and sends them in order.
 *
 * All durable state is in the rows of the tables. After any failure, such as a lost answer, the rows are read again,
 * and receipts that are already counted are recognised by their sequence numbers. A window is written as a row in the
 * same transaction that freezes it, and each delivery sends that row. One lock covers each call, including the requests
 * to the tables and the platform.
 */
public class UsageCollector(
    private val shard: String,
    private val settings: UsageSettings,
    tables: TableService,
    private val reporting: UsageReporting,
    private val time: TimeSource,
) {
    private val store = UsageStore(shard, settings, tables, time)
    private val lock = Any()
    private var loaded: LoadedUsage? = null
    private var loadedEpoch = 0L

    /** Returns the receipts of [source] that are committed according to the rows as last read. */
    public fun committed(authority: Authority, source: ReceiptSource): Either<UsageRefusal, SequenceSet> =
        synchronized(lock) { loadedUsage(authority).map { it.usage.committed(source) } }

    /** Commits [receipts]. After success each of them is counted exactly once. */
    public fun collect(authority: Authority, receipts: List<UsageReceipt>): Either<UsageRefusal, Unit> =
        synchronized(lock) {
            either {
                val current = loadedUsage(authority).bind()
                val batch = current.usage.batchOf(receipts, time.wallMs(), settings)
                if (batch.amounts.isEmpty()) return@either
                remember(store.append(authority, current, batch)).bind()
            }
        }

    /** Freezes the oldest open window if it is due, and returns its report, or null if none is due. */
    public fun freezeDue(authority: Authority): Either<UsageRefusal, UsageReport?> =
        synchronized(lock) {
            either {
                val current = loadedUsage(authority).bind()
                val endMs = current.usage.head.openWindowStartMs + settings.windowMs
                if (time.wallMs() < endMs + settings.freezeAfterMs) return@either null
                val report = current.usage.report(shard, settings)
                remember(store.freeze(authority, current, report)).bind()
                report
            }
        }

    /** Delivers the oldest frozen window that is not known to be delivered. Returns it, or null if there is none. */
    public fun sendDue(authority: Authority): Either<UsageRefusal, UsageReport?> =
        synchronized(lock) {
            either {
                val current = loadedUsage(authority).bind()
                val head = current.usage.head
                if (head.unsentWindowStartMs >= head.openWindowStartMs) return@either null
                val report = store.frozenWindow(head.unsentWindowStartMs).bind()
                ensure(authority.mayAct(time.monotonicMs())) { UsageRefusal.NotInCharge }
                reporting.deliver(report).mapLeft { UsageRefusal.NotDelivered }.bind()
                remember(store.markDelivered(authority, current)).bind()
                report
            }
        }

    private fun loadedUsage(authority: Authority): Either<UsageRefusal, LoadedUsage> {
        val current = loaded
        if (current != null && loadedEpoch == authority.epoch) return current.right()
        return store.load().onRight {
            loaded = it
            loadedEpoch = authority.epoch
        }
    }

    private fun remember(result: Either<UsageRefusal, LoadedUsage>): Either<UsageRefusal, LoadedUsage> {
        loaded = result.getOrNull()
        return result
    }
}
