package org.medlarhook.runtime.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.medlarhook.ports.ListedVm
import org.medlarhook.ports.ObjectStore
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.UpstreamOrder
import org.medlarhook.ports.UpstreamOrdering
import org.medlarhook.ports.UsageReport
import org.medlarhook.ports.UsageReporting
import org.medlarhook.ports.VmDirectory

/** HTTP client of the platform's services other than the tables. */
public class HttpPlatform(
    private val http: PlatformHttpClient,
) : ObjectStore,
    UpstreamOrdering,
    UsageReporting,
    VmDirectory {
    override fun put(name: String, content: ByteArray): Either<TableFailure, Unit> =
        http.put(objectUrl(name), content).map { }

    override fun get(name: String): Either<TableFailure, ByteArray?> =
        http.get(objectUrl(name)).map { if (it.status == PlatformHttpClient.HTTP_OK) it.body else null }

    override fun order(order: UpstreamOrder): Either<TableFailure, Unit> =
        http.post(http.url("upstream-orders"), JSON.encodeToString(UpstreamOrder.serializer(), order)).accepted()

    override fun deliver(report: UsageReport): Either<TableFailure, Unit> =
        http.post(http.url("usage-reports"), JSON.encodeToString(UsageReport.serializer(), report)).accepted()

    override fun list(): Either<TableFailure, List<ListedVm>> =
        http.get(http.url("vms")).map { JSON.decodeFromString(ListSerializer(ListedVm.serializer()), it.text()) }

    /** Treats any status other than 200 as a failure. */
    private fun Either<TableFailure, PlatformAnswer>.accepted(): Either<TableFailure, Unit> =
        flatMap {
            if (it.status == PlatformHttpClient.HTTP_OK) {
                Unit.right()
            } else {
                TableFailure.Unavailable("status ${it.status}").left()
            }
        }

    private fun objectUrl(name: String) = http.url("objects/$name")

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
