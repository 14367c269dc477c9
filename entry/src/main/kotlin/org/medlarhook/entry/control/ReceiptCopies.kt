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
 * Keeps this entry's copies of receipts and offers them to the holder of the usage lease, until it has committed them.
 *
 * @param own commits copies here while this entry is the holder.
 */
internal class ReceiptCopies(
    private val scope: LeaseScope,
    private val tables: TableService,
    private val members: EntryMembers,
    private val own: (ReceiptSource, List<UsageReceipt>) -> Either<UsageRefusal, Long>,
) {
    private val logger = KotlinLogging.logger {}
    private val buffer = EntryReceiptBuffer(CAPACITY)
    private var peer: Peer? = null

    private class Peer(
        val address: String,
        val channel: ManagedChannel,
    )

    /** How many copies are kept. */
    val size: Int get() = buffer.size

    /** Says whether a copy of one more receipt finds its place with [inFlight] requests under way. */
    fun hasRoom(inFlight: Int): Boolean = buffer.hasRoom(inFlight)

    /** Keeps a copy of [receipt] if there is room; without one the sidecar's own is the only one. */
    fun add(receipt: Receipt) {
        if (!buffer.keep(receipt.toUsageReceipt())) {
            logger.warnEvent(
                LogEvent.COPY_NOT_KEPT,
                "attempt" to receipt.attemptId,
            )
        }
    }

    /** Offers a page of each source. */
    fun run() {
        if (buffer.size == 0) return
        buffer.sources().forEach { source ->
            val page = buffer.page(source, PAGE_LIMIT)
            val watermark = own(source, page).getOrNull() ?: offerToHolder(source, page).getOrNull()
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
        peer?.takeIf { it.address == address }?.let { return it.channel }
        peer?.channel?.shutdown()
        val channel = NettyChannelBuilder.forTarget(address).usePlaintext().disableRetry().build()
        peer = Peer(address, channel)
        return channel
    }

    internal companion object {
        /** Stands between an entry's name and its start nonce in the holder of a lease. */
        const val HOLDER_SEPARATOR = "#"
        private const val CAPACITY = 16_384
        private const val PAGE_LIMIT = 500
        private const val OFFER_TIMEOUT_MS = 2_000L
        private val JSON = Json { ignoreUnknownKeys = true }
    }
}
