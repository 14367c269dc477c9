package org.medlarhook.entry.operators

import arrow.core.Either
import kotlinx.serialization.json.Json
import org.medlarhook.core.result.ResultCode
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService
import org.medlarhook.ports.UsageReport

/** Reads the frozen usage windows in the tables. */
internal class FrozenUsageWindows(
    private val tables: TableService,
) {
    /** Returns up to [limit] of the newest windows, the newest last. */
    fun newest(limit: Int): Either<OperatorsFailure, List<UsageReport>> =
        tables
            .scan(TableNames.USAGE_WINDOW)
            .mapLeft { OperatorsFailure(ResultCode.PLATFORM_UNAVAILABLE, "$it") }
            .map { rows -> rows.takeLast(limit).map { JSON.decodeFromString(UsageReport.serializer(), it.value) } }

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
