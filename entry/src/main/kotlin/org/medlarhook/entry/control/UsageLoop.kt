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

/** Collects the receipts of the sidecars of one data centre, and reports its usage windows, while the lease is held. */
internal class UsageLoop(
    private val collector: UsageCollector,
    private val channels: SidecarChannels,
    private val authority: () -> Authority?,
) {
    private val logger = KotlinLogging.logger {}
    private var pullRounds = 0L

    /** Collects receipts, then freezes and sends the windows that are due, at most [MAX_WINDOWS] of each per call. */
    fun run() {
        val currentAuthority = authority() ?: return
        pullAll(currentAuthority)
        (1..MAX_WINDOWS).takeWhile { freeze(currentAuthority) }
        (1..MAX_WINDOWS).takeWhile { send(currentAuthority) }
    }

    private fun freeze(currentAuthority: Authority): Boolean {
        val report = collector.freezeDue(currentAuthority).getOrNull() ?: return false
        logger.event(LogEvent.WINDOW_FROZEN, "report" to report.reportId, "lines" to report.lines.size)
        return true
    }

    private fun send(currentAuthority: Authority): Boolean {
        val report = collector.sendDue(currentAuthority).getOrNull() ?: return false
        logger.event(LogEvent.WINDOW_SENT, "report" to report.reportId)
        return true
    }

    /** Commits copies of receipts and returns the watermark of their source. */
    fun accept(source: ReceiptSource, receipts: List<UsageReceipt>): Either<UsageRefusal, Long> {
        val currentAuthority = authority() ?: return UsageRefusal.NotInCharge.left()
        return either {
            collector.collect(currentAuthority, receipts).bind()
            collector.committed(currentAuthority, source).bind().watermark
        }
    }

    private fun pullAll(currentAuthority: Authority) {
        pullRounds++
        val pulls =
            channels.all.flatMap { channel -> sources(channel).mapNotNull { pull(currentAuthority, channel, it) } }
        val receipts = pulls.flatMap { it.receipts() }.map { it.toUsageReceipt() }
        if (receipts.isNotEmpty()) collector.collect(currentAuthority, receipts)
    }

    /**
     * Returns the current incarnation and, alternating between calls of [run], one of the [EARLIER_INCARNATIONS] before
     * it, whose receipts the same process may still hold.
     */
    private fun sources(channel: SidecarChannel): List<ReceiptSource> {
        val currentIncarnation = channel.registration.incarnation
        val earlier = currentIncarnation - 1 - pullRounds % EARLIER_INCARNATIONS
        return listOf(currentIncarnation, earlier)
            .filter { it > 0 }
            .map { ReceiptSource(channel.registration.upstreamId, it) }
    }

    private fun pull(
        currentAuthority: Authority,
        channel: SidecarChannel,
        source: ReceiptSource,
    ): Future<ReceiptsPage>? {
        val committed = collector.committed(currentAuthority, source).getOrNull() ?: return null
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
