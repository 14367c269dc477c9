package org.medlarhook.ports

import arrow.core.Either
import kotlinx.serialization.Serializable

/** The platform's interface that accepts usage reports. */
public interface UsageReporting {
    /** Delivers [report]; delivering the same report more than once is allowed. */
    public fun deliver(report: UsageReport): Either<TableFailure, Unit>
}

/** The usage of all workspaces of a shard in one time window. */
@Serializable
public data class UsageReport(
    val reportId: String,
    val shard: String,
    val windowStartMs: Long,
    val windowEndMs: Long,
    val lines: List<UsageLine>,
)

/**
 * The usage of one resource by one workspace.
 *
 * @property correctionOfWindowStartMs for usage that arrived after its window was reported: the start of that window;
 * null for usage of the reported window.
 */
@Serializable
public data class UsageLine(
    val workspace: String,
    val resource: String,
    val promptTokens: Long,
    val outputTokens: Long,
    val serviceCalls: Long,
    val correctionOfWindowStartMs: Long? = null,
)
