package org.medlarhook.ports

import arrow.core.Either
import kotlinx.serialization.Serializable

/** The platform's interface that accepts usage reports. */
public interface UsageReporting {
    /** Delivers [report]; the same report may be delivered again. */
    public fun deliver(report: UsageReport): Either<TableFailure, Unit>
}

/** The usage of all workspaces of a shard in one window of time. */
@Serializable
public data class UsageReport(
    val reportId: String,
    val shard: String,
    val windowStartMs: Long,
    val windowEndMs: Long,
    val lines: List<UsageLine>,
)

/** The usage of one resource by one workspace; [correctionOfWindowStartMs] marks usage that came late. */
@Serializable
public data class UsageLine(
    val workspace: String,
    val resource: String,
    val promptTokens: Long,
    val outputTokens: Long,
    val serviceCalls: Long,
    val correctionOfWindowStartMs: Long? = null,
)
