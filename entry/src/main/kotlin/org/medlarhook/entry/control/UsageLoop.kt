package org.medlarhook.entry.control

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.lease.Authority
import org.medlarhook.core.usage.ReceiptSource
import org.medlarhook.core.usage.UsageCollector
import org.medlarhook.core.usage.UsageReceipt
import org.medlarhook.core.usage.UsageRefusal
import org.medlarhook.protocol.ReceiptsPage
import org.medlarhook.protocol.ReceiptsRequest
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import java.util.concurrent.ExecutionException
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** Collects the receipts of the data centre's sidecars and reports its windows while this entry holds the lease. */
internal class UsageLoop(
    private val collector: UsageCollector,
    private val channels: SidecarChannels,
    private val authority: () -> Authority?,
) {
    private val logger = KotlinLogging.logger {}
    private var rounds = 0L

    /** Collects, and freezes and sends the windows that are due, a bounded number at a time. */
    fun run() {
        val present = authority() ?: return
        pullAll(present)
        (1..MAX_WINDOWS).takeWhile { freeze(present) }
        (1..MAX_WINDOWS).takeWhile { send(present) }
    }

    private fun freeze(present: Authority): Boolean {
        val report = collector.freezeDue(present).getOrNull() ?: return false
        logger.event(LogEvent.WINDOW_FROZEN, "report" to report.reportId, "lines" to report.lines.size)
        return true
    }

    private fun send(present: Authority): Boolean {
        val report = collector.sendDue(present).getOrNull() ?: return false
        logger.event(LogEvent.WINDOW_SENT, "report" to report.reportId)
        return true
    }

    /** Commits copies that another entry kept, and returns the watermark of their source. */
    fun accept(source: ReceiptSource, receipts: List<UsageReceipt>): Either<UsageRefusal, Long> {
        val present = authority() ?: return UsageRefusal.NotInCharge.left()
        return either {
            collector.collect(present, receipts).bind()
            collector.committed(present, source).bind().watermark
        }
    }

    private fun pullAll(present: Authority) {
        rounds++
        val pulls = channels.all.flatMap { channel -> sources(channel).mapNotNull { pull(present, channel, it) } }
        val receipts = pulls.flatMap { it.receipts() }.map { it.toUsageReceipt() }
        if (receipts.isNotEmpty()) collector.collect(present, receipts)
    }

    /** The present incarnation and, in turn, one of the earlier ones whose receipts the same process may still hold. */
    private fun sources(channel: SidecarChannel): List<ReceiptSource> {
        val present = channel.registration.incarnation
        val earlier = present - 1 - rounds % EARLIER_INCARNATIONS
        return listOf(present, earlier).filter { it > 0 }.map { ReceiptSource(channel.registration.upstreamId, it) }
    }

    private fun pull(present: Authority, channel: SidecarChannel, source: ReceiptSource): Future<ReceiptsPage>? {
        val committed = collector.committed(present, source).getOrNull() ?: return null
        val request =
            ReceiptsRequest
                .newBuilder()
                .setIncarnation(source.incarnation)
                .setAfterSequence(committed.watermark)
                .setLimit(PAGE_LIMIT)
                .build()
        return channel.stub(PULL_TIMEOUT_MS).pullReceipts(request)
    }

    private fun Future<ReceiptsPage>.receipts() =
        try {
            get(PULL_TIMEOUT_MS, TimeUnit.MILLISECONDS).receiptsList
        } catch (_: ExecutionException) {
            emptyList()
        } catch (_: TimeoutException) {
            emptyList()
        }

    private companion object {
        const val MAX_WINDOWS = 16
        const val EARLIER_INCARNATIONS = 2
        const val PAGE_LIMIT = 500
        const val PULL_TIMEOUT_MS = 1_000L
    }
}
