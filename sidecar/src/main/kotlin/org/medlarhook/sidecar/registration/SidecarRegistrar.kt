package org.medlarhook.sidecar.registration

import arrow.core.Either
import arrow.core.flatMap
import kotlinx.serialization.json.Json
import org.medlarhook.core.membership.UpstreamRegistration
import org.medlarhook.ports.Condition
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write
import org.medlarhook.runtime.settings.SidecarSettings
import java.util.UUID

/** Writes the upstream's registration row with the next incarnation number. */
internal class SidecarRegistrar(
    private val settings: SidecarSettings,
    private val tables: TableService,
) {
    private val key = RowKey(TableNames.UPSTREAM, "${settings.dataCentre}/${settings.upstreamId}")
    private val nonce = UUID.randomUUID().toString()

    /**
     * Registers under the next incarnation and returns the row written. After a lost answer the caller retries: a row
     * that already carries this registrar's nonce is returned as it is.
     */
    fun register(): Either<TableFailure, UpstreamRegistration> =
        tables.read(key).flatMap { row ->
            val existing = row?.let { Json.decodeFromString(UpstreamRegistration.serializer(), it.value) }
            if (existing != null && existing.nonce == nonce) return@flatMap Either.Right(existing)
            val next = registration(1 + (existing?.incarnation ?: 0))
            val value = Json.encodeToString(UpstreamRegistration.serializer(), next)
            val condition = Condition(key, row?.version ?: Condition.ABSENT)
            tables.transact(Transaction(listOf(condition), listOf(Write(key, value)))).map { next }
        }

    private fun registration(incarnation: Long) =
        UpstreamRegistration(
            upstreamId = settings.upstreamId,
            vmId = settings.vmId,
            dataCentre = settings.dataCentre,
            region = settings.region,
            incarnation = incarnation,
            address = "${settings.entries.host}:${settings.entries.port}",
            models = settings.engine?.models.orEmpty(),
            services = settings.service?.names.orEmpty(),
            nonce = nonce,
        )
}
