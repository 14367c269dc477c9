package org.medlarhook.entry.operators

import arrow.core.Either
import kotlinx.serialization.json.Json
import org.medlarhook.core.result.ResultCode
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService
import org.medlarhook.ports.UsageReport

/** The usage windows that are frozen in the tables. */
internal class UsageWindows(
    private val tables: TableService,
) {
    /** Returns up to [limit] windows, the newest last. */
    fun newest(limit: Int): Either<OperatorsFailure, List<UsageReport>> =
        tables
            .scan(TableNames.USAGE_WINDOW)
            .mapLeft { OperatorsFailure(ResultCode.PLATFORM_UNAVAILABLE, "$it") }
            .map { rows -> rows.takeLast(limit).map { JSON.decodeFromString(UsageReport.serializer(), it.value) } }

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
