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

/** A registered sidecar of the data centre, as its lease holder calls it. */
internal class SidecarChannel(
    val registration: UpstreamRegistration,
    val channel: ManagedChannel,
) {
    /** A stub whose calls end after [timeoutMs]. */
    fun stub(timeoutMs: Long): SidecarServiceGrpc.SidecarServiceFutureStub =
        SidecarServiceGrpc.newFutureStub(channel).withDeadlineAfter(timeoutMs, TimeUnit.MILLISECONDS)
}

/** The channels of a lease holder to the sidecars of its data centre. Refreshed by one thread, read by any. */
internal class SidecarChannels(
    private val dataCentre: String,
    private val tables: TableService,
    private val interceptor: ClientInterceptor,
) {
    @Volatile
    private var open = emptyMap<String, SidecarChannel>()

    /** All channels as of the last [refresh]. */
    val all: Collection<SidecarChannel> get() = open.values

    /** The channel to the sidecar of [upstreamId], if known. */
    fun find(upstreamId: String): SidecarChannel? = open[upstreamId]

    /** Reads the registrations, opens channels to new addresses, and closes those that are gone. */
    fun refresh(): Either<TableFailure, Unit> =
        registrations().map { registrations ->
            val next = registrations.associate { it.upstreamId to (reusable(it) ?: connect(it)) }
            val kept = next.values.map { it.channel }.toSet()
            open.values.map { it.channel }.filterNot { it in kept }.forEach { it.shutdown() }
            open = next
        }

    /** Closes all channels. */
    fun close() {
        open.values.forEach { it.channel.shutdown() }
        open = emptyMap()
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
        val present = open[registration.upstreamId] ?: return null
        if (present.registration.address != registration.address) return null
        return SidecarChannel(registration, present.channel)
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
