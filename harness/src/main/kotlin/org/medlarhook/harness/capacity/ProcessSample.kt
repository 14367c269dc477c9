package org.medlarhook.harness.capacity

/**
 * Resource use of a process: processor time and control traffic since its start, and its present memory.
 *
 * @property cpuMs processor time in user and system mode.
 * @property residentKb resident memory.
 * @property heapKb heap in use after a full garbage collection.
 * @property controlBytes bytes sent and received in control calls.
 * @property controlMessages messages sent and received in control calls.
 */
internal data class ProcessSample(
    val cpuMs: Double,
    val residentKb: Double,
    val heapKb: Double,
    val controlBytes: Double,
    val controlMessages: Double,
)
