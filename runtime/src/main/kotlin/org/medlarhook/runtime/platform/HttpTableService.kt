package org.medlarhook.runtime.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.medlarhook.ports.Committed
import org.medlarhook.ports.Row
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction

/** HTTP client of the platform's table service, with JSON bodies. */
public class HttpTableService(
    private val http: PlatformHttpClient,
) : TableService {
    override fun read(key: RowKey): Either<TableFailure, Row?> =
        http
            .post(http.url("tables/read"), JSON.encodeToString(RowKey.serializer(), key))
            .map { JSON.decodeFromString(ReadAnswer.serializer(), it.text()).row }
            .asRead()

    override fun scan(
        table: String,
        prefix: String,
        afterKey: String,
        limit: Int,
    ): Either<TableFailure, List<Row>> {
        val request = ScanRequest(table, prefix, afterKey, limit)
        return http
            .post(http.url("tables/scan"), JSON.encodeToString(ScanRequest.serializer(), request))
            .map { JSON.decodeFromString(RowsAnswer.serializer(), it.text()).rows }
            .asRead()
    }

    override fun transact(transaction: Transaction): Either<TableFailure, Committed> =
        http
            .post(http.url("tables/transact"), JSON.encodeToString(Transaction.serializer(), transaction))
            .flatMap { answer ->
                if (answer.status == PlatformHttpClient.HTTP_CONFLICT) {
                    TableFailure.Conflict(JSON.decodeFromString(RowsAnswer.serializer(), answer.text()).rows).left()
                } else {
                    JSON.decodeFromString(Committed.serializer(), answer.text()).right()
                }
            }

    /** Maps an unknown outcome to unavailable: reads have no effect, so it is irrelevant whether one was executed. */
    private fun <T> Either<TableFailure, T>.asRead(): Either<TableFailure, T> =
        mapLeft { if (it is TableFailure.OutcomeUnknown) TableFailure.Unavailable(it.detail) else it }

    @Serializable
    private data class ReadAnswer(
        val row: Row? = null,
    )

    @Serializable
    private data class RowsAnswer(
        val rows: List<Row> = emptyList(),
    )

    @Serializable
    private data class ScanRequest(
        val table: String,
        val prefix: String,
        val afterKey: String,
        val limit: Int,
    )

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
