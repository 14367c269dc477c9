package org.medlarhook.harness.capacity

import kotlinx.serialization.Serializable

/**
 * The measurements at one size of a dimension.
 *
 * @property entry resource use of an entry, as the mean of all entries.
 * @property sidecar resource use of a sidecar, as the mean of all sidecars.
 * @property tableReadsPerS reads of the platform's tables by all processes together.
 * @property tableWritesPerS rows written to the platform's tables by all processes together.
 */
@Serializable
internal data class CapacityPoint(
    val size: Int,
    val entry: RoleUse,
    val sidecar: RoleUse,
    val tableReadsPerS: Double,
    val tableWritesPerS: Double,
)

/** Resource use of a process that serves no requests: share of one processor core, memory, and control traffic. */
@Serializable
internal data class RoleUse(
    val corePercent: Double,
    val residentMb: Double,
    val heapMb: Double,
    val controlBytesPerS: Double,
    val controlMessagesPerS: Double,
)
