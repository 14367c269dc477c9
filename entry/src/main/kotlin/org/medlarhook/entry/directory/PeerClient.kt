package org.medlarhook.entry.directory

import arrow.core.Either
import io.grpc.ClientInterceptor
import io.grpc.ManagedChannel
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.directory.DirectoryLog
import org.medlarhook.core.directory.PeerDigest
import org.medlarhook.protocol.ChangesRequest
import org.medlarhook.protocol.EntryServiceGrpc
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Calls other entries. Keeps one channel for each address until [retain] closes it. */
internal class PeerClient(
    private val timeoutMs: Long,
    private val interceptor: ClientInterceptor,
) {
    private val channels = ConcurrentHashMap<String, ManagedChannel>()

    /** Sends [digest] to the entry at [address] and returns that entry's digest. */
    fun exchange(address: String, digest: PeerDigest): Either<Throwable, PeerDigest> =
        Either.catch { stub(address).exchangeDigest(digest.toMessage()).toDigest() }

    /** Fetches the changes above [version] from the entry at [address]. */
    fun fetch(address: String, version: Long): Either<Throwable, List<DirectoryChange>> {
        val request = ChangesRequest.newBuilder().setAfterVersion(version).setLimit(DirectoryLog.PAGE_LIMIT).build()
        return Either.catch { stub(address).fetchChanges(request).toChanges() }
    }

    /** Closes the channels to addresses that are not in [addresses]. */
    fun retain(addresses: Set<String>) {
        val unused = channels.keys.filterNot { it in addresses }
        unused.forEach { channels.remove(it)?.shutdownNow() }
    }

    private fun stub(address: String): EntryServiceGrpc.EntryServiceBlockingStub =
        EntryServiceGrpc
            .newBlockingStub(channels.computeIfAbsent(address, ::open))
            .withDeadlineAfter(timeoutMs, TimeUnit.MILLISECONDS)

    /** Keep-alive pings detect an unresponsive connection, so that gRPC replaces it. */
    private fun open(address: String): ManagedChannel =
        NettyChannelBuilder
            .forTarget(address)
            .usePlaintext()
            .disableRetry()
            .intercept(interceptor)
            .keepAliveTime(KEEP_ALIVE_INTERVAL_MS, TimeUnit.MILLISECONDS)
            .keepAliveTimeout(timeoutMs, TimeUnit.MILLISECONDS)
            .build()

    private companion object {
        const val KEEP_ALIVE_INTERVAL_MS = 10_000L
    }
}
