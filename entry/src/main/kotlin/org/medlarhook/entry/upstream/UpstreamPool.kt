package org.medlarhook.entry.upstream

import io.grpc.ManagedChannel
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import kotlinx.serialization.json.Json
import org.medlarhook.core.membership.UpstreamRegistration
import org.medlarhook.platform.TableNames
import org.medlarhook.platform.TableService
import java.util.concurrent.ConcurrentHashMap

/** The registered upstreams with a channel to the sidecar of each. */
internal class UpstreamPool(
    private val tables: TableService,
) {
    private val links = ConcurrentHashMap<String, UpstreamLink>()

    /** Reads the registrations and opens or replaces channels. */
    fun poll() {
        tables.scan(TableNames.UPSTREAM).onRight { rows ->
            rows.map { Json.decodeFromString(UpstreamRegistration.serializer(), it.value) }.forEach(::update)
        }
    }

    /** All upstreams that serve [model]. */
    fun forModel(model: String): List<UpstreamLink> = links.values.filter { model in it.registration.models }

    /** All upstreams that serve the plain service [service]. */
    fun forService(service: String): List<UpstreamLink> = links.values.filter { service in it.registration.services }

    private fun update(registration: UpstreamRegistration) {
        links.compute(registration.upstreamId) { _, present ->
            if (present?.registration == registration) return@compute present
            present?.channel?.shutdown()
            UpstreamLink(registration, open(registration.address))
        }
    }

    private fun open(address: String): ManagedChannel =
        NettyChannelBuilder
            .forTarget(address)
            .usePlaintext()
            .disableRetry()
            .build()
}
