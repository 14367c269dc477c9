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
 * Everything lasting is in the rows. After any doubt, such as a lost answer, the book is read again, and receipts that
 * were counted by then are recognised by their sequence. A window becomes a row in the same transaction that closes it
 * to further usage, and every sending repeats that row. Calls take one lock, held over the calls of the platform.
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
    private var loaded: LoadedBook? = null
    private var loadedEpoch = 0L

    /** Returns which receipts of [source] are committed, as far as the rows were read. */
    public fun committed(authority: Authority, source: ReceiptSource): Either<UsageRefusal, SequenceSet> =
        synchronized(lock) { book(authority).map { it.book.committed(source) } }

    /** Commits [receipts]; on return of a right value each of them is counted, once. */
    public fun collect(authority: Authority, receipts: List<UsageReceipt>): Either<UsageRefusal, Unit> =
        synchronized(lock) {
            either {
                val present = book(authority).bind()
                val batch = present.book.batchOf(receipts, time.wallMs(), settings)
                if (batch.amounts.isEmpty()) return@either
                keep(store.append(authority, present, batch)).bind()
            }
        }

    /** Freezes the oldest open window if it is due. Returns its report, or null if none is due. */
    public fun freezeDue(authority: Authority): Either<UsageRefusal, UsageReport?> =
        synchronized(lock) {
            either {
                val present = book(authority).bind()
                val endMs = present.book.head.openWindowStartMs + settings.windowMs
                if (time.wallMs() < endMs + settings.freezeAfterMs) return@either null
                val report = present.book.report(shard, settings)
                keep(store.freeze(authority, present, report)).bind()
                report
            }
        }

    /** Sends the oldest frozen window that is not known to be delivered. Returns it, or null if there is none. */
    public fun sendDue(authority: Authority): Either<UsageRefusal, UsageReport?> =
        synchronized(lock) {
            either {
                val present = book(authority).bind()
                val head = present.book.head
                if (head.unsentWindowStartMs >= head.openWindowStartMs) return@either null
                val report = store.frozen(head.unsentWindowStartMs).bind()
                ensure(authority.mayAct(time.monotonicMs())) { UsageRefusal.NotInCharge }
                reporting.deliver(report).mapLeft { UsageRefusal.NotDelivered }.bind()
                keep(store.markSent(authority, present)).bind()
                report
            }
        }

    private fun book(authority: Authority): Either<UsageRefusal, LoadedBook> {
        val present = loaded
        if (present != null && loadedEpoch == authority.epoch) return present.right()
        return store.load().onRight {
            loaded = it
            loadedEpoch = authority.epoch
        }
    }

    private fun keep(result: Either<UsageRefusal, LoadedBook>): Either<UsageRefusal, LoadedBook> {
        loaded = result.getOrNull()
        return result
    }
}
