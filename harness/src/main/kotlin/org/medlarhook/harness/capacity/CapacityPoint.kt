package org.medlarhook.harness.capacity

import kotlinx.serialization.Serializable

/**
 * What was measured at one size.
 *
 * @property entry the mean of all entries.
 * @property sidecar the mean of all sidecars.
 * @property tableReadsPerS reads of the platform's tables, by all processes.
 * @property tableWritesPerS rows written to the platform's tables, by all processes.
 */
@Serializable
internal data class CapacityPoint(
    val size: Int,
    val entry: RoleUse,
    val sidecar: RoleUse,
    val tableReadsPerS: Double,
    val tableWritesPerS: Double,
)

/** What a process of one role uses while idle. */
@Serializable
internal data class RoleUse(
    val corePercent: Double,
    val residentMb: Double,
    val heapMb: Double,
    val controlBytesPerS: Double,
    val controlMessagesPerS: Double,
)
