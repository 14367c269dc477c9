package org.medlarhook.entry.control

import arrow.core.Either
import arrow.core.left
import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.ManagedChannel
import io.grpc.StatusRuntimeException
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import kotlinx.serialization.json.Json
import org.medlarhook.core.lease.LeaseRow
import org.medlarhook.core.lease.LeaseScope
import org.medlarhook.core.usage.EntryReceiptBuffer
import org.medlarhook.core.usage.ReceiptSource
import org.medlarhook.core.usage.UsageReceipt
import org.medlarhook.core.usage.UsageRefusal
import org.medlarhook.ports.TableService
import org.medlarhook.protocol.EntryServiceGrpc
import org.medlarhook.protocol.Receipt
import org.medlarhook.protocol.ReceiptsPage
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent
import java.util.concurrent.TimeUnit

/**
 * Stores this entry's copies of receipts, and offers them to the holder of the usage lease until it has committed them.
 *
 * @param commitLocally commits copies in this process while this entry holds the lease.
 */
internal class ReceiptCopies(
    private val scope: LeaseScope,
    private val tables: TableService,
    private val members: EntryMembers,
    private val commitLocally: (ReceiptSource, List<UsageReceipt>) -> Either<UsageRefusal, Long>,
) {
    private val logger = KotlinLogging.logger {}
    private val buffer = EntryReceiptBuffer(CAPACITY)
    private var holderConnection: HolderConnection? = null

    private class HolderConnection(
        val address: String,
        val channel: ManagedChannel,
    )

    /** Number of stored copies. */
    val size: Int get() = buffer.size

    /** True if, beside the stored copies and those of [inFlight] requests, there is room for one more copy. */
    fun hasRoom(inFlight: Int): Boolean = buffer.hasRoom(inFlight)

    /** Stores a copy of [receipt]. If there is no room, a warning is logged and only the sidecar has the receipt. */
    fun add(receipt: Receipt) {
        if (!buffer.keep(receipt.toUsageReceipt())) {
            logger.warnEvent(
                LogEvent.COPY_NOT_KEPT,
                "attempt" to receipt.attemptId,
            )
        }
    }

    /** Commits or offers one page of each source, and drops the copies that are committed. */
    fun run() {
        if (buffer.size == 0) return
        buffer.sources().forEach { source ->
            val page = buffer.page(source, PAGE_LIMIT)
            val watermark = commitLocally(source, page).getOrNull() ?: offerToHolder(source, page).getOrNull()
            if (watermark != null) {
                buffer.drop(page)
                buffer.dropUpTo(source, watermark)
            }
        }
    }

    private fun offerToHolder(source: ReceiptSource, page: List<UsageReceipt>): Either<UsageRefusal, Long> {
        val stub =
            holderChannel()?.let { EntryServiceGrpc.newBlockingStub(it) } ?: return UsageRefusal.NotInCharge.left()
        val message =
            ReceiptsPage
                .newBuilder()
                .setUpstreamId(source.upstreamId)
                .setIncarnation(source.incarnation)
                .addAllReceipts(page.map { it.toMessage() })
                .build()
        return try {
            val ack = stub.withDeadlineAfter(OFFER_TIMEOUT_MS, TimeUnit.MILLISECONDS).offerReceipts(message)
            Either.Right(ack.coveredSequence)
        } catch (_: StatusRuntimeException) {
            UsageRefusal.NotInCharge.left()
        }
    }

    private fun holderChannel(): ManagedChannel? {
        val row = tables.read(scope.leaseKey).getOrNull() ?: return null
        val holder = JSON.decodeFromString(LeaseRow.serializer(), row.value).holder
        val address = members.peerAddress(holder.substringBefore(HOLDER_SEPARATOR)) ?: return null
        holderConnection?.takeIf { it.address == address }?.let { return it.channel }
        holderConnection?.channel?.shutdown()
        val channel = NettyChannelBuilder.forTarget(address).usePlaintext().disableRetry().build()
        holderConnection = HolderConnection(address, channel)
        return channel
    }

    internal companion object {
        /** Separates the entry id from the nonce of its process start in the name of a lease holder. */
        const val HOLDER_SEPARATOR = "#"
        private const val CAPACITY = 16_384
        private const val PAGE_LIMIT = 500
        private const val OFFER_TIMEOUT_MS = 2_000L
        private val JSON = Json { ignoreUnknownKeys = true }
    }
}
