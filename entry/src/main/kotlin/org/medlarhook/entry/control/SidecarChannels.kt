package org.medlarhook.entry.control

import arrow.core.Either
import io.grpc.ClientInterceptor
import io.grpc.ManagedChannel
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import kotlinx.serialization.json.Json
import org.medlarhook.core.membership.UpstreamRegistration
import org.medlarhook.ports.Row
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService
import org.medlarhook.protocol.SidecarServiceGrpc
import java.util.concurrent.TimeUnit

/** A channel of a lease holder to a registered sidecar. */
internal class SidecarChannel(
    val registration: UpstreamRegistration,
    val channel: ManagedChannel,
) {
    /** Returns a stub whose calls time out [timeoutMs] from now. */
    fun stub(timeoutMs: Long): SidecarServiceGrpc.SidecarServiceFutureStub =
        SidecarServiceGrpc.newFutureStub(channel).withDeadlineAfter(timeoutMs, TimeUnit.MILLISECONDS)
}

/** The channels of a lease holder to the sidecars of one data centre. Refreshed by one thread, read by any thread. */
internal class SidecarChannels(
    private val dataCentre: String,
    private val tables: TableService,
    private val interceptor: ClientInterceptor,
) {
    @Volatile
    private var channels = emptyMap<String, SidecarChannel>()

    /** All channels as of the last [refresh]. */
    val all: Collection<SidecarChannel> get() = channels.values

    /** Returns the channel to the sidecar of [upstreamId], or null if there is none. */
    fun find(upstreamId: String): SidecarChannel? = channels[upstreamId]

    /** Reads the registrations, opens channels to new addresses, and closes channels that are no longer registered. */
    fun refresh(): Either<TableFailure, Unit> =
        registrations().map { registrations ->
            val next = registrations.associate { it.upstreamId to (reusable(it) ?: connect(it)) }
            val stillUsed = next.values.map { it.channel }.toSet()
            channels.values.map { it.channel }.filterNot { it in stillUsed }.forEach { it.shutdown() }
            channels = next
        }

    /** Closes all channels. */
    fun close() {
        channels.values.forEach { it.channel.shutdown() }
        channels = emptyMap()
    }

    private fun registrations(): Either<TableFailure, List<UpstreamRegistration>> {
        val found = mutableListOf<Row>()
        while (true) {
            val page = tables.scan(TableNames.UPSTREAM, "$dataCentre/", found.lastOrNull()?.key?.key.orEmpty())
            val rows = page.fold({ return Either.Left(it) }, { it })
            found += rows
            if (rows.size < TableService.DEFAULT_SCAN_LIMIT) break
        }
        return Either.Right(found.map { JSON.decodeFromString(UpstreamRegistration.serializer(), it.value) })
    }

    private fun reusable(registration: UpstreamRegistration): SidecarChannel? {
        val existing = channels[registration.upstreamId] ?: return null
        if (existing.registration.address != registration.address) return null
        return SidecarChannel(registration, existing.channel)
    }

    private fun connect(registration: UpstreamRegistration): SidecarChannel {
        val builder = NettyChannelBuilder.forTarget(
            registration.address,
        ).usePlaintext().disableRetry().intercept(interceptor)
        return SidecarChannel(registration, builder.build())
    }

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
